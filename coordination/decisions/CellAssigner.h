/// @file
/// Assignment of accelerators to the unused parts of guarantee cells.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GuaranteeCells.h"

#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Assigns cells one after the other to accelerators that neither a protected job nor an earlier cell uses.
class CellAssigner {
public:
    /// @param unprotected accelerators of each worker that no protected job uses.
    CellAssigner(const ClusterView& view, AcceleratorCounts unprotected);

    /// Finds a place for a whole cell that includes the accelerators it already uses: whole workers, and part of one
    /// more if the cell's size requires it. The place stays valid when the cell's jobs end, since it includes their
    /// accelerators.
    /// @return the unused part of the place, which later cells cannot use, or nothing if there is no place.
    std::optional<std::vector<GangTask>> assign(const GuaranteeCells::Cell& cell);

private:
    using Place = std::vector<GangTask>;

    std::optional<Place> find(const GuaranteeCells::Cell& cell) const;
    std::optional<Place> findOnWorker(int accelerators) const;
    std::optional<Place> findInBestRack(int accelerators) const;
    std::optional<Place> findInDataCentre(Place place, int accelerators) const;
    /// Finds a place that includes the accelerators in use.
    /// @param partial used worker of which the cell gets only a part, or -1 if it gets all used workers whole.
    std::optional<Place> findAround(const GuaranteeCells::Cell& cell, const Place& used, int partial) const;
    std::optional<Place> completeAround(
        const GuaranteeCells::Cell& cell, Place place, int remaining, const GangTask& partial) const;
    /// @return all workers. Racks with the fewest unassigned accelerators come first, so that whole racks stay free for
    /// rack cells.
    std::vector<int> workersByRackCapacity() const;
    std::vector<int> region(const GuaranteeCells::Cell& cell) const;
    /// Adds whole workers, then a part of one unless `wholeOnly` is set.
    /// @param remaining accelerators that are still to be added.
    /// @return whether none remain.
    bool extend(Place& place, int& remaining, const std::vector<int>& workers, bool wholeOnly) const;
    int unassignedOn(int worker) const { return m_unassigned[static_cast<std::size_t>(worker)]; }

    const ClusterView& m_view;
    AcceleratorCounts m_unassigned;
    /// Unassigned accelerators of each rack.
    std::vector<int> m_rackUnassigned;
};

} // namespace lentilsaddle::coordination
