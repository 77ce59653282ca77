#include "coordination/decisions/batch/WorkerClock.h"

namespace lentilsaddle::coordination::batch {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void WorkerClock::addReading(milliseconds clock, state::MonotonicTime received)
{
    // Responses may arrive out of order; the highest reading bounds the clock best.
    if (m_received && clock < m_clock)
        return;
    m_clock = clock;
    m_received = received;
}

void WorkerClock::reset()
{
    m_received.reset();
    m_clock = milliseconds(0);
}

milliseconds WorkerClock::estimate(state::MonotonicTime now) const
{
    return m_clock + duration_cast<milliseconds>(now - *m_received);
}

state::MonotonicTime WorkerClock::latestTimeOf(milliseconds clock) const
{
    auto remaining = std::chrono::duration<double, std::milli>(clock - m_clock) / (1 - m_maximumDrift);
    return *m_received + duration_cast<state::MonotonicTime::duration>(remaining);
}

} // namespace lentilsaddle::coordination::batch
