/// @file
/// Accelerators that are reclaimed from borrowers, the jobs outside the guarantee of their account.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GangTask.h"
#include "coordination/decisions/GuaranteeCells.h"

#include <vector>

namespace lentilsaddle::coordination {

/// Tracks which borrowers are being stopped and which of their accelerators are already allocated.
class BorrowedCapacity {
public:
    BorrowedCapacity(const ClusterView& view, const GuaranteeCells& cells);

    /// @return accelerators of each worker that stopping borrowers will free and that are not allocated yet.
    const AcceleratorCounts& stopping() const { return m_stopping; }

    /// @return borrowers that reclaimFor() would preempt, by index into ClusterView::jobs().
    std::vector<int> victims(const std::vector<GangTask>& tasks, const AcceleratorCounts& free) const;

    /// @return accelerators that these borrowers use on all workers.
    int accelerators(const std::vector<int>& jobs) const;

    /// Allocates accelerators to a gang: free ones first, then those of stopping jobs, then those of further borrowers.
    /// @param free free accelerators, reduced by the ones that the gang will use.
    /// @return borrowers that must be preempted in addition, by index into ClusterView::jobs().
    std::vector<int> reclaimFor(const std::vector<GangTask>& tasks, AcceleratorCounts& free);

private:
    void markStopping(int job);
    int nextVictim(int worker, const std::vector<int>& chosen) const;
    int accelerators(int job) const;
    int acceleratorsOn(int job, int worker) const;

    const ClusterView& m_view;
    const GuaranteeCells& m_cells;
    AcceleratorCounts m_stopping;
    std::vector<bool> m_isStopping;
};

} // namespace lentilsaddle::coordination
