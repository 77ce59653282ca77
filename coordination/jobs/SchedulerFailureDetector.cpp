#include "coordination/jobs/SchedulerFailureDetector.h"

#include <utility>

namespace lentilsaddle::coordination {

SchedulerFailureDetector::SchedulerFailureDetector(
    transport::EventLoop& loop, const Options& options, state::MonotonicClock clock, std::function<void()> onSuspected)
    : m_loop(loop)
    , m_options(options)
    , m_clock(std::move(clock))
    , m_onSuspected(std::move(onSuspected))
{
}

SchedulerFailureDetector::~SchedulerFailureDetector()
{
    m_loop.cancelTimer(m_timer);
}

void SchedulerFailureDetector::restart()
{
    m_suspected = false;
    startTimer();
}

void SchedulerFailureDetector::stop()
{
    m_suspected = false;
    m_loop.cancelTimer(m_timer);
}

void SchedulerFailureDetector::startTimer()
{
    m_loop.cancelTimer(m_timer);
    m_timer = m_loop.startTimer(m_options.timeout, [this, started = m_clock()] {
        // After a pause of this process the answers that came meanwhile have not been read yet.
        if (m_clock() - started > m_options.timeout + m_options.pauseThreshold) {
            startTimer();
            return;
        }
        m_suspected = true;
        m_onSuspected();
    });
}

} // namespace lentilsaddle::coordination
