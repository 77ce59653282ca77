/// @file
/// Hook that selects the waiting jobs to start and their placements.
#pragma once

#include "state/Time.h"

#include <functional>
#include <vector>

namespace lentilsaddle::state {
class PlacementState;
}

namespace lentilsaddle::coordination {

struct PlacementPlan;
struct QueuedJob;

/// Computes a plan for the waiting jobs, which are in submission order. The plan must start whole gangs only, on free
/// accelerators.
using PlacementPolicy = std::function<PlacementPlan(
    const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime now)>;

} // namespace lentilsaddle::coordination
