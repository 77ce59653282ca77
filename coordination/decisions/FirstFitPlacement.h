/// @file
/// Simple placement policy: the first free accelerators that fit.
#pragma once

#include "coordination/decisions/PlacementPlan.h"
#include "state/GangShape.h"
#include "state/Identifier.h"
#include "state/Time.h"

#include <set>
#include <vector>

namespace lentilsaddle::state {
class PlacementState;
}

namespace lentilsaddle::coordination {

struct QueuedJob;

/// Starts every queued job that fits, in queue order, on the first free accelerators. Ignores guarantees and preempts
/// no job.
PlacementPlan firstFitPlacement(
    const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime now);

/// @param avoided workers to leave out.
/// @return accelerators of the largest gang of that adjacency and task size that fits into the empty data centre.
int largestGang(const state::PlacementState& placement, const state::GangShape& shape,
    const std::set<state::WorkerId>& avoided = {});

} // namespace lentilsaddle::coordination
