/// @file
/// Queued job, as input of a placement decision.
#pragma once

#include "state/Identifier.h"
#include "state/JobSpecification.h"

#include <chrono>
#include <set>

namespace lentilsaddle::coordination {

struct QueuedJob {
    state::JobSpecification specification;
    std::chrono::milliseconds waited { 0 };
    /// Jobs that were submitted later and started earlier.
    int bypassed = 0;
    /// Workers on which an earlier attempt failed.
    std::set<state::WorkerId> avoidedWorkers;
};

} // namespace lentilsaddle::coordination
