/// @file
/// How an attempt ended.
#pragma once

#include "state/Identifier.h"

#include <set>
#include <string>

namespace lentilsaddle::coordination {

struct GangOutcome {
    /// succeeded, failed, preempted, released (certainly never started) or unknown.
    std::string outcome;
    std::string reason;
    /// Workers that refused, failed or lost the attempt.
    std::set<state::WorkerId> failedWorkers;
};

} // namespace lentilsaddle::coordination
