/// @file
/// One decision of the cell placement policy.
#pragma once

#include "coordination/decisions/AcceleratorPicker.h"
#include "coordination/decisions/BorrowedCapacity.h"
#include "coordination/decisions/CellPlacement.h"
#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GangFit.h"
#include "coordination/decisions/GuaranteeCells.h"
#include "coordination/decisions/JobFilter.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/QueuedJob.h"
#include "coordination/decisions/ReservedCapacity.h"
#include "state/Time.h"

#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Computes one plan; used once.
class CellPlanner {
public:
    CellPlanner(const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime now,
        const CellPlacementOptions& options);

    PlacementPlan plan();

private:
    enum class Progress {
        Waiting,
        /// Accelerators are being reclaimed for the job.
        Reclaiming,
        Started,
    };
    struct RankedFit {
        GangFit fit;
        /// Accelerators of the borrowers that it stops.
        int victimCost = 0;
    };

    void planGuaranteed();
    void planBorrowers();
    /// Keeps accelerators for the first job that neither a guarantee covers nor free accelerators hold.
    void reserveForHead();
    bool startInCells(std::size_t job);
    bool reclaim(std::size_t job);
    bool borrow(std::size_t job);
    /// Keeps free accelerators for a job that does not fit yet.
    void reserve(std::size_t job);
    void start(std::size_t job, const GangFit& fit, bool withinGuarantee);
    void countBypass(std::size_t job);
    /// @return the first place that the account's cells absorb.
    std::optional<GangFit> absorbedFit(std::size_t job, const GangCapacity& room);
    std::vector<RankedFit> rankedFits(const state::GangShape& shape, const GangCapacity& room) const;
    /// @return the room that the account's own cells are assigned.
    GangCapacity ownRoom(const state::AccountId& account, const GangCapacity& room, AcceleratorCounts& easy,
        AcceleratorCounts& whole) const;
    /// @return whether fragmentation outweighs completion time.
    bool packsFirst() const { return m_options.completionWeight < 0.5; }
    bool bypassExhausted(std::size_t job) const { return m_bypassed[job] >= m_options.maximumBypass; }
    /// @return whether the job would start ahead of one of its own account that has been passed too often.
    bool passesOwnAccount(std::size_t job);

    const std::vector<QueuedJob>& m_queue;
    state::MonotonicTime m_now;
    const CellPlacementOptions& m_options;
    ClusterView m_view;
    GuaranteeCells m_cells;
    AcceleratorPicker m_picker;
    JobFilter m_filter;
    /// Free accelerators that this plan has not handed out or kept.
    AcceleratorCounts m_free;
    BorrowedCapacity m_borrowed;
    ReservedCapacity m_reserved;
    /// Job that accelerators are kept for although it was not passed too often.
    std::optional<std::size_t> m_head;
    std::vector<Progress> m_progress;
    std::vector<int> m_bypassed;
    PlacementPlan m_plan;
};

} // namespace lentilsaddle::coordination
