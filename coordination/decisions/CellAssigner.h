/// @file
/// Search for the place of a cell's unused rest.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GuaranteeCells.h"

#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Assigns cells one after the other to the room that is left.
class CellAssigner {
public:
    /// @param room accelerators that no protected job uses.
    CellAssigner(const ClusterView& view, AcceleratorCounts room);

    /// Finds a place for a whole cell that includes the accelerators it uses already: whole workers, and part of one
    /// more if the cell's size asks for it. The place stays valid when the cell's jobs end, since their accelerators
    /// belong to it.
    /// @return the unused rest of the place, which is taken out of the room, or nothing if there is none.
    std::optional<std::vector<GangTask>> assign(const GuaranteeCells::Cell& cell);

private:
    using Place = std::vector<GangTask>;

    std::optional<Place> find(const GuaranteeCells::Cell& cell) const;
    std::optional<Place> findOnWorker(int accelerators) const;
    std::optional<Place> findInBestRack(int accelerators) const;
    std::optional<Place> findInDataCentre(Place place, int accelerators) const;
    /// Finds a place around the accelerators in use.
    /// @param partial used worker of which the cell takes a part only, or -1 if all used ones are taken whole.
    std::optional<Place> findAround(const GuaranteeCells::Cell& cell, const Place& used, int partial) const;
    std::optional<Place> completeAround(
        const GuaranteeCells::Cell& cell, Place place, int remaining, const GangTask& partial) const;
    /// @return all workers. Racks with little room come first, so that whole racks stay free for rack cells.
    std::vector<int> workersByRackRoom() const;
    std::vector<int> region(const GuaranteeCells::Cell& cell) const;
    /// Adds whole workers, then a part of one.
    bool extend(Place& place, int& remaining, const std::vector<int>& workers, bool wholeOnly) const;
    int roomOf(int worker) const { return m_room[static_cast<std::size_t>(worker)]; }

    const ClusterView& m_view;
    AcceleratorCounts m_room;
    /// Room of all workers of each rack.
    std::vector<int> m_rackRoom;
};

} // namespace lentilsaddle::coordination
