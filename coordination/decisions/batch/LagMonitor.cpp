#include "coordination/decisions/batch/LagMonitor.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination::batch {

using std::chrono::milliseconds;

LagMonitor::LagMonitor(const Options& options)
    : m_options(options)
{
}

std::optional<milliseconds> LagMonitor::record(state::MonotonicTime due, state::MonotonicTime now)
{
    m_longest = std::max(m_longest, std::chrono::duration_cast<milliseconds>(now - due));
    if (m_lastReport && now - *m_lastReport < m_options.reportInterval)
        return std::nullopt;
    if (m_longest < m_options.threshold)
        return std::nullopt;
    m_lastReport = now;
    return std::exchange(m_longest, milliseconds(0));
}

} // namespace lentilsaddle::coordination::batch
