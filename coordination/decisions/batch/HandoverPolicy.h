/// @file
/// When the leader hands over to an instance with more processors.
#pragma once

#include "state/Time.h"

#include <chrono>
#include <optional>

namespace lentilsaddle::coordination::batch {

/// Limits how often the leadership changes on request. An instance that asks for the leadership may fail to claim it,
/// or lose it soon; each attempt is time without a leader, so the next ones are further apart.
class HandoverPolicy {
public:
    struct Options {
        /// A handover has failed if this instance is elected again within this time.
        std::chrono::milliseconds settleTime { 30'000 };
        /// Pause after a first failed handover; doubles with each further one.
        std::chrono::milliseconds minimumPause { 2'000 };
        std::chrono::milliseconds maximumPause { 120'000 };
    };

    explicit HandoverPolicy(const Options& options);

    /// @return whether the leader may step down for another instance now.
    bool allowed(state::MonotonicTime now) const;

    /// Called when this instance steps down for another one.
    void onHandover(state::MonotonicTime now);

    /// Called when this instance becomes the leader.
    void onElected(state::MonotonicTime now);

private:
    Options m_options;
    /// Of the last handover; empty once this instance has been elected after it.
    std::optional<state::MonotonicTime> m_handedOverAt;
    std::chrono::milliseconds m_pause { 0 };
    state::MonotonicTime m_pausedUntil {};
};

} // namespace lentilsaddle::coordination::batch
