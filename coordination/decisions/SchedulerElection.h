/// @file
/// Decides when this instance claims the scheduler role.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Orders the claims of the live instances, so that usually only the first candidate appends one. Concurrent claims are
/// harmless: the first valid one in the log wins.
class SchedulerElection {
public:
    struct View {
        state::InstanceId self;
        state::DataCentreId dataCentre;
        /// Live instances of the data centre.
        std::vector<state::InstanceId> members;
        std::uint64_t epoch = 0;
        /// The epoch has no scheduler, or its scheduler is known to have ended.
        bool vacant = false;
        bool suspected = false;
        /// The instance list does not contain the scheduler. The list lags, so this alone is weak evidence.
        bool unlisted = false;
        /// Whether this instance has read the whole stream, reaches the log and is not leaving.
        bool eligible = false;
    };

    /// @param rankDelay time that each candidate waits for the one before it.
    /// @param unlistedDelay how long the instance list may lag behind a new scheduler.
    SchedulerElection(std::chrono::milliseconds rankDelay, std::chrono::milliseconds unlistedDelay);

    /// @return when to claim the next epoch, or nothing if there is no reason to. A time in the past means immediately.
    std::optional<state::MonotonicTime> claimTime(const View& view, state::MonotonicTime now);

private:
    std::chrono::milliseconds m_rankDelay;
    std::chrono::milliseconds m_unlistedDelay;
    /// Since when the epoch has been without a live scheduler.
    std::optional<state::MonotonicTime> m_leaderlessSince;
    std::uint64_t m_leaderlessEpoch = 0;
};

} // namespace lentilsaddle::coordination
