/// @file
/// Outcome of a service request as told to its caller.
#pragma once

#include <string_view>

namespace lentilsaddle::state {

enum class RequestOutcome {
    /// The backend server answered.
    Done,
    /// The request was never handed over, or was refused before start. Safe to repeat.
    NotRun,
    /// The request was handed over and its answer cannot be had.
    Unknown,
};

/// @return the value of the `Request-Outcome` header.
constexpr std::string_view toString(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Done:
        return "done";
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace lentilsaddle::state
