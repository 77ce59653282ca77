/// @file
/// Search for places of a whole gang.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "state/GangShape.h"

#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Place for all tasks of a gang; every task lies on one worker and the gang within its adjacency.
struct GangFit {
    std::vector<GangTask> tasks;
    int racks = 0;
    /// Accelerators of the gang that exceed the easy room.
    int excess = 0;
    /// Easy room that stays on the gang's workers and in its racks; a small rest fragments least.
    int workerRest = 0;
    int rackRest = 0;
};

/// Room that a search may use.
struct GangCapacity {
    /// Accelerators that are free.
    const AcceleratorCounts& easy;
    /// Accelerators that may be used at all, for example after a preemption; at least the easy room.
    const AcceleratorCounts& whole;
};

/// Finds one place for each worker or rack that can hold the gang, and one over several racks if none can and the
/// adjacency permits it.
/// @return places in ascending order of racks, excess and rest.
std::vector<GangFit> gangFits(const ClusterView& view, const state::GangShape& shape, const GangCapacity& room);

/// @return the best place, or nothing if the gang does not fit.
std::optional<GangFit> bestGangFit(
    const ClusterView& view, const state::GangShape& shape, const AcceleratorCounts& room);

/// Takes a place's accelerators out of a room, which keeps at least 0.
void subtract(AcceleratorCounts& room, const std::vector<GangTask>& tasks);

} // namespace lentilsaddle::coordination
