#include "coordination/decisions/JobQueue.h"

#include <algorithm>

namespace lentilsaddle::coordination {

void JobQueue::track(const state::JobId& job, state::MonotonicTime now)
{
    m_entries.try_emplace(job, Entry { .since = now, .notBefore = now, .bypassed = 0 });
}

void JobQueue::delayUntil(const state::JobId& job, state::MonotonicTime until)
{
    track(job, until);
    m_entries[job].notBefore = until;
}

void JobQueue::recordStart(const state::JobTable::Job& job, const std::vector<const state::JobTable::Job*>& openJobs)
{
    for (const state::JobTable::Job* other : openJobs) {
        auto entry = m_entries.find(other->specification.id);
        if (entry != m_entries.end() && other->order < job.order && state::JobTable::startable(*other))
            ++entry->second.bypassed;
    }
}

void JobQueue::forget(const state::JobId& job)
{
    m_entries.erase(job);
}

std::vector<QueuedJob> JobQueue::build(const std::vector<const state::JobTable::Job*>& openJobs,
    const std::function<bool(const state::JobTable::Job&)>& eligible, state::MonotonicTime now)
{
    std::vector<QueuedJob> queue;
    for (const state::JobTable::Job* job : openJobs) {
        if (!state::JobTable::startable(*job))
            continue;
        track(job->specification.id, now);
        const Entry& entry = m_entries[job->specification.id];
        if (now < entry.notBefore || !eligible(*job))
            continue;
        queue.push_back({
            .specification = job->specification,
            .waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - std::min(now, entry.since)),
            .bypassed = entry.bypassed,
            .avoidedWorkers = job->failedWorkers,
        });
    }
    return queue;
}

std::optional<state::MonotonicTime> JobQueue::nextEligibleTime(state::MonotonicTime now) const
{
    std::optional<state::MonotonicTime> next;
    for (const auto& [job, entry] : m_entries) {
        if (entry.notBefore > now)
            next = next ? std::min(*next, entry.notBefore) : entry.notBefore;
    }
    return next;
}

} // namespace lentilsaddle::coordination
