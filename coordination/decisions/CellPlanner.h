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
        /// Accelerators of the borrowers that it preempts.
        int victimCost = 0;
    };

    void planGuaranteed();
    void planBorrowers();
    /// Reserves accelerators for the first waiting job that no guarantee covers and that does not fit on free
    /// accelerators.
    void reserveForHead();
    bool startInCells(std::size_t job);
    bool reclaim(std::size_t job);
    bool borrow(std::size_t job);
    /// Reserves free accelerators for a job that does not fit yet.
    void reserve(std::size_t job);
    void start(std::size_t job, const GangFit& fit, bool withinGuarantee);
    void countBypass(std::size_t job);
    /// Allocates the job in its account's cells.
    /// @return the first placement that the cells accept, or nothing.
    std::optional<GangFit> allocateFit(std::size_t job, const GangCapacity& capacity);
    std::vector<RankedFit> rankedFits(const state::GangShape& shape, const GangCapacity& capacity) const;
    /// @param preferred storage of the result.
    /// @param usable storage of the result.
    /// @return the part of the capacity that is assigned to the account's own cells.
    GangCapacity ownCapacity(const state::AccountId& account, const GangCapacity& capacity,
        AcceleratorCounts& preferred, AcceleratorCounts& usable) const;
    /// @return whether fragmentation outweighs completion time.
    bool prefersPacking() const { return m_options.completionWeight < 0.5; }
    bool bypassExhausted(std::size_t job) const { return m_bypassed[job] >= m_options.maximumBypass; }
    /// @return whether the job would start ahead of one of its own account that has been bypassed too often.
    bool bypassesOwnAccount(std::size_t job);

    const std::vector<QueuedJob>& m_queue;
    state::MonotonicTime m_now;
    const CellPlacementOptions& m_options;
    ClusterView m_view;
    GuaranteeCells m_cells;
    AcceleratorPicker m_picker;
    JobFilter m_filter;
    /// Free accelerators that this plan has neither allocated nor reserved.
    AcceleratorCounts m_free;
    BorrowedCapacity m_borrowed;
    ReservedCapacity m_reserved;
    /// First waiting job that does not fit; it gets a reservation however often it has been bypassed.
    std::optional<std::size_t> m_headJob;
    std::vector<Progress> m_progress;
    std::vector<int> m_bypassed;
    PlacementPlan m_plan;
};

} // namespace lentilsaddle::coordination
