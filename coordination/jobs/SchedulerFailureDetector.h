/// @file
/// Suspicion of the elected scheduler.
#pragma once

#include "state/Time.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <functional>

namespace lentilsaddle::coordination {

/// Suspects the scheduler after a time without an answered heartbeat. Belongs to the loop's thread.
class SchedulerFailureDetector {
public:
    struct Options {
        /// Time without an answer after which the scheduler is suspected.
        std::chrono::milliseconds timeout { 2'500 };
        /// Lateness of the timer that shows that this process was paused.
        std::chrono::milliseconds pauseThreshold { 1'000 };
    };

    /// @param onSuspected called when the limit has passed.
    SchedulerFailureDetector(transport::EventLoop& loop, const Options& options, state::MonotonicClock clock,
        std::function<void()> onSuspected);
    ~SchedulerFailureDetector();
    SchedulerFailureDetector(const SchedulerFailureDetector&) = delete;
    SchedulerFailureDetector& operator=(const SchedulerFailureDetector&) = delete;

    /// Clears the suspicion and starts the limit anew, because the scheduler answered or is another one.
    void restart();

    /// Clears the suspicion and waits for no answer, because there is no other scheduler.
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
