/// @file
/// Decides when an instance claims the leadership of the batch part.
#pragma once

#include "state/Time.h"
#include "state/batch/LeaderRecord.h"

#include <chrono>
#include <optional>

namespace lentilsaddle::coordination::batch {

/// What an instance knows of the leadership.
struct LeadershipView {
    state::InstanceId self;
    std::uint64_t incarnation = 0;
    /// Newest leader record; nothing if no instance has ever led.
    std::optional<state::batch::LeaderRecord> leader;
    /// When the last record of the leader arrived, or when this instance began to read.
    state::MonotonicTime lastLeaderActivity {};
    /// Since when this instance may lead.
    state::MonotonicTime eligibleSince {};
    /// Delay drawn by this instance so that claims seldom race.
    std::chrono::milliseconds jitter { 0 };
    /// Added because another instance suits the role better; 0 if none is known.
    std::chrono::milliseconds outrankedDelay { 0 };
};

/// @param takeoverDelay silence of a leader after which its authority has surely ended.
/// @return when to claim; a time in the past means now.
state::MonotonicTime claimTime(const LeadershipView& view, std::chrono::milliseconds failoverDelay);

} // namespace lentilsaddle::coordination::batch
