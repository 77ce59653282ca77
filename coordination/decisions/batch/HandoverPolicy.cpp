#include "coordination/decisions/batch/HandoverPolicy.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

HandoverPolicy::HandoverPolicy(const Options& options)
    : m_options(options)
{
}

bool HandoverPolicy::allowed(state::MonotonicTime now) const
{
    return now >= m_pausedUntil;
}

void HandoverPolicy::onHandover(state::MonotonicTime now)
{
    m_handedOverAt = now;
}

void HandoverPolicy::onElected(state::MonotonicTime now)
{
    if (!m_handedOverAt)
        return;
    bool failed = now - *m_handedOverAt < m_options.settleTime;
    m_handedOverAt.reset();
    m_pause = failed ? std::clamp(2 * m_pause, m_options.minimumPause, m_options.maximumPause)
                     : std::chrono::milliseconds(0);
    m_pausedUntil = now + m_pause;
}

} // namespace lentilsaddle::coordination::batch
