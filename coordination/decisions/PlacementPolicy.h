/// @file
/// Hook that decides which waiting jobs start where.
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

/// Decides on the queue in submission order. Must not start a job on accelerators that are not free, nor part of a
/// gang.
using PlacementPolicy = std::function<PlacementPlan(
    const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime now)>;

} // namespace lentilsaddle::coordination
