/// @file
/// Outcome of a service request as reported to its caller.
#pragma once

#include <string_view>

namespace lentilsaddle::state {

enum class RequestOutcome {
    /// The backend server responded.
    Done,
    /// The request was never dispatched, or was refused before it started. Safe to retry.
    NotRun,
    /// The request was dispatched and its response is not available.
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
