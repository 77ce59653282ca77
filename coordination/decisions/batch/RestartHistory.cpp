#include "coordination/decisions/batch/RestartHistory.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

namespace {

    // A crash is judged when its task is queued again, which takes as long as a run elsewhere.
    constexpr std::chrono::minutes retention { 2 };

} // namespace

void RestartHistory::add(state::MonotonicTime now)
{
    while (!m_restarts.empty() && now - m_restarts.front() > retention)
        m_restarts.pop_front();
    m_restarts.push_back(now);
}

bool RestartHistory::coincides(state::MonotonicTime crash) const
{
    return std::any_of(m_restarts.begin(), m_restarts.end(),
        [&](state::MonotonicTime restart) { return restart >= crash - m_window && restart <= crash + m_window; });
}

} // namespace lentilsaddle::coordination::batch
