/// @file
/// Search for placements of a whole gang.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "state/GangShape.h"

#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Placement of all tasks of a gang: each task on one worker, and the gang within its adjacency.
struct GangFit {
    std::vector<GangTask> tasks;
    int racks = 0;
    /// Accelerators of the gang beyond the preferred capacity.
    int excess = 0;
    /// Preferred capacity that remains on the gang's workers and in its racks; a small residual fragments least.
    int workerResidual = 0;
    int rackResidual = 0;
};

/// Capacity that a search may use.
struct GangCapacity {
    /// Accelerators to use first, for example the free ones.
    const AcceleratorCounts& preferred;
    /// Accelerators that may be used at all, for example after a preemption; at least the preferred ones.
    const AcceleratorCounts& usable;
};

/// Finds one placement for each worker or rack that can hold the gang, and one over several racks if none can and the
/// adjacency permits it.
/// @return placements in ascending order of racks, excess and residuals.
std::vector<GangFit> gangFits(const ClusterView& view, const state::GangShape& shape, const GangCapacity& capacity);

/// @return the best placement, or nothing if the gang does not fit.
std::optional<GangFit> bestGangFit(
    const ClusterView& view, const state::GangShape& shape, const AcceleratorCounts& capacity);

/// Subtracts the accelerators of tasks from the capacity of their workers, down to 0.
void subtract(AcceleratorCounts& capacity, const std::vector<GangTask>& tasks);

} // namespace lentilsaddle::coordination
