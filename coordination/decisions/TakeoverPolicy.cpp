#include "coordination/decisions/TakeoverPolicy.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

TakeoverPolicy::TakeoverPolicy(const Options& options)
    : m_options(options)
{
}

void TakeoverPolicy::begin(Takeover takeover)
{
    m_takeover = std::move(takeover);
    // The predecessor's last confirmed record is older than the claim that replaced it. A task that it started at its
    // limit lives for one more lease.
    m_silentUntil = m_takeover.claimRead + m_options.leaseTtl + m_options.margin;
    if (!m_takeover.predecessorGone)
        m_silentUntil += m_options.isolationLimit;
}

void TakeoverPolicy::predecessorEnded(state::MonotonicTime now)
{
    m_takeover.predecessorGone = true;
    m_silentUntil = std::min(m_silentUntil, now + m_options.leaseTtl + m_options.margin);
}

void TakeoverPolicy::workerAnswered(const state::WorkerId& worker)
{
    m_takeover.silent.erase(worker);
}

std::optional<state::MonotonicTime> TakeoverPolicy::heldUntil(const state::JobId& job, state::MonotonicTime now) const
{
    if (m_takeover.silent.empty() || !m_takeover.queued.contains(job))
        return std::nullopt;
    return now < m_silentUntil ? std::optional(m_silentUntil) : std::nullopt;
}

bool TakeoverPolicy::mayStartWithoutLog(
    const state::JobSpecification& job, state::MonotonicTime lastConfirmed, state::MonotonicTime now) const
{
    return job.repeatable && now + m_options.margin < lastConfirmed + m_options.isolationLimit;
}

} // namespace lentilsaddle::coordination
