#include "coordination/decisions/FailoverPolicy.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

FailoverPolicy::FailoverPolicy(const Options& options)
    : m_options(options)
{
}

void FailoverPolicy::begin(Failover failover)
{
    m_failover = std::move(failover);
    // The predecessor's last confirmed record is older than the claim that replaced it. A task that it started at its
    // limit lives for one more lease.
    m_orphanedTasksEndBy = m_failover.claimRead + m_options.leaseTtl + m_options.margin;
    if (!m_failover.predecessorInactive)
        m_orphanedTasksEndBy += m_options.isolationLimit;
}

void FailoverPolicy::predecessorEnded(state::MonotonicTime now)
{
    m_failover.predecessorInactive = true;
    m_orphanedTasksEndBy = std::min(m_orphanedTasksEndBy, now + m_options.leaseTtl + m_options.margin);
}

void FailoverPolicy::workerResponded(const state::WorkerId& worker)
{
    m_failover.unresponsive.erase(worker);
}

std::optional<state::MonotonicTime> FailoverPolicy::blockedUntil(
    const state::JobId& job, state::MonotonicTime now) const
{
    if (m_failover.unresponsive.empty() || !m_failover.queued.contains(job))
        return std::nullopt;
    return now < m_orphanedTasksEndBy ? std::optional(m_orphanedTasksEndBy) : std::nullopt;
}

bool FailoverPolicy::mayStartWithoutLog(
    const state::JobSpecification& job, state::MonotonicTime lastConfirmed, state::MonotonicTime now) const
{
    return job.repeatable && now + m_options.margin < lastConfirmed + m_options.isolationLimit;
}

} // namespace lentilsaddle::coordination
