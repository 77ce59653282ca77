/// @file
/// State of a job as reported to callers.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace lentilsaddle::state {

enum class JobState {
    Queued,
    Claimed,
    /// An attempt is being stopped, or it has ended and the end of the job is not recorded yet.
    Stopping,
    Done,
    Failed,
    Cancelled,
    Refused,
    /// Final state of a non-repeatable job whose attempt has an unknown outcome.
    Unknown,
};

constexpr std::array<std::pair<JobState, std::string_view>, 8> jobStateNames { {
    { JobState::Queued, "queued" },
    { JobState::Claimed, "claimed" },
    { JobState::Stopping, "stopping" },
    { JobState::Done, "done" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Refused, "refused" },
    { JobState::Unknown, "unknown" },
} };

/// @return the name used in the API and in records.
constexpr std::string_view toString(JobState state)
{
    for (const auto& [value, name] : jobStateNames) {
        if (value == state)
            return name;
    }
    return "unknown";
}

/// @return the state with that name, or nothing if the name is unknown.
constexpr std::optional<JobState> jobStateFromString(std::string_view name)
{
    for (const auto& [value, text] : jobStateNames) {
        if (text == name)
            return value;
    }
    return std::nullopt;
}

/// @return whether no further attempt can start in this state.
constexpr bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Claimed && state != JobState::Stopping;
}

} // namespace lentilsaddle::state
