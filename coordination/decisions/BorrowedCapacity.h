/// @file
/// Accelerators that borrowers give back.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GangTask.h"
#include "coordination/decisions/GuaranteeCells.h"

#include <vector>

namespace lentilsaddle::coordination {

/// Tracks which borrowers leave and which of their accelerators are spoken for.
class BorrowedCapacity {
public:
    BorrowedCapacity(const ClusterView& view, const GuaranteeCells& cells);

    /// @return accelerators of each worker that leaving borrowers give back and nobody has claimed.
    const AcceleratorCounts& leaving() const { return m_leaving; }

    /// @return borrowers that a claim would preempt, by index into ClusterView::jobs().
    std::vector<int> victims(const std::vector<GangTask>& tasks, const AcceleratorCounts& free) const;

    /// @return accelerators that these borrowers use on all workers.
    int accelerators(const std::vector<int>& jobs) const;

    /// Claims accelerators for a gang: free ones first, then those of leaving jobs, then those of further borrowers.
    /// @param free free accelerators, reduced by the ones that the gang will use.
    /// @return borrowers that must be preempted in addition, by index into ClusterView::jobs().
    std::vector<int> claim(const std::vector<GangTask>& tasks, AcceleratorCounts& free);

private:
    void leave(int job);
    int nextVictim(int worker, const std::vector<int>& chosen) const;
    int accelerators(int job) const;
    int acceleratorsOn(int job, int worker) const;

    const ClusterView& m_view;
    const GuaranteeCells& m_cells;
    AcceleratorCounts m_leaving;
    std::vector<bool> m_isLeaving;
};

} // namespace lentilsaddle::coordination
