/// @file
/// Time at which an instance claims the leadership of batch scheduling.
#pragma once

#include "state/Time.h"
#include "state/batch/LeaderRecord.h"

#include <chrono>
#include <optional>

namespace lentilsaddle::coordination::batch {

/// State of the leadership as known to one instance.
struct LeadershipView {
    state::InstanceId self;
    std::uint64_t incarnation = 0;
    /// Newest leader record; empty if no instance has ever led.
    std::optional<state::batch::LeaderRecord> leader;
    /// When the last record of the leader was read, or when this instance began to read the journal.
    state::MonotonicTime lastLeaderActivity {};
    /// When this instance became eligible to lead.
    state::MonotonicTime eligibleSince {};
    /// Random delay that makes simultaneous claims unlikely.
    std::chrono::milliseconds jitter { 0 };
    /// Extra delay while an instance with more processors is known; otherwise 0.
    std::chrono::milliseconds outrankedDelay { 0 };
};

/// @param failoverDelay time without a record of the leader after which its lease has certainly expired.
/// @return when to claim; a time in the past means now.
state::MonotonicTime claimTime(const LeadershipView& view, std::chrono::milliseconds failoverDelay);

} // namespace lentilsaddle::coordination::batch
