/// @file
/// Failure detector for the elected scheduler.
#pragma once

#include "state/Time.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <functional>

namespace lentilsaddle::coordination {

/// Suspects the scheduler to have failed after a time without a heartbeat response. Used on the loop's thread only.
class SchedulerFailureDetector {
public:
    struct Options {
        /// Time without a response after which the scheduler is suspected.
        std::chrono::milliseconds timeout { 2'500 };
        /// Delay of the timer beyond the timeout that indicates that this process was paused.
        std::chrono::milliseconds pauseThreshold { 1'000 };
    };

    /// @param onSuspected called when the timeout has passed.
    SchedulerFailureDetector(transport::EventLoop& loop, const Options& options, state::MonotonicClock clock,
        std::function<void()> onSuspected);
    ~SchedulerFailureDetector();
    SchedulerFailureDetector(const SchedulerFailureDetector&) = delete;
    SchedulerFailureDetector& operator=(const SchedulerFailureDetector&) = delete;

    /// Clears the suspicion and restarts the timeout, because the scheduler responded or was replaced.
    void restart();

    /// Clears the suspicion and stops the timeout, because no other instance is the scheduler.
    void stop();

    bool suspected() const { return m_suspected; }

private:
    void startTimer();

    transport::EventLoop& m_loop;
    Options m_options;
    state::MonotonicClock m_clock;
    std::function<void()> m_onSuspected;
    transport::EventLoop::TimerId m_timer = 0;
    bool m_suspected = false;
};

} // namespace lentilsaddle::coordination
