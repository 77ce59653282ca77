/// @file
/// Decides what follows an ended attempt.
#pragma once

#include "state/JobTable.h"

#include <chrono>
#include <string>

namespace lentilsaddle::coordination {

/// Failed attempts after which the job fails.
constexpr int maximumFailedAttempts = 3;

/// Next step of a job that has no attempt in progress.
struct AttemptDecision {
    enum class Action {
        /// Queue the job for its next attempt after the delay.
        Queue,
        /// Append JobEnded.
        End,
    };
    Action action = Action::Queue;
    std::chrono::milliseconds delay { 0 };
    /// Outcome and reason of JobEnded.
    std::string outcome;
    std::string reason;
};

/// @param job job without a claim that has not ended.
AttemptDecision decideNextAttempt(const state::JobTable::Job& job);

} // namespace lentilsaddle::coordination
