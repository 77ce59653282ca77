#include "coordination/decisions/WorkerQuarantine.h"

#include <algorithm>

namespace lentilsaddle::coordination {

WorkerQuarantine::WorkerQuarantine(const Options& options)
    : m_options(options)
{
}

bool WorkerQuarantine::startFailed(const state::WorkerId& worker, const state::JobId& job, state::MonotonicTime now)
{
    History& history = m_histories[worker];
    if (history.quarantinedUntil) {
        if (history.probe != job)
            return false;
        history.probe = state::JobId();
        history.duration = std::min(history.duration * 2, m_options.maximumDuration);
        history.quarantinedUntil = now + history.duration;
        return true;
    }
    std::erase(history.failedJobs, job);
    history.failedJobs.push_back(job);
    if (history.failedJobs.size() < static_cast<std::size_t>(m_options.failures))
        return false;
    history.duration = m_options.duration;
    history.quarantinedUntil = now + history.duration;
    return true;
}

void WorkerQuarantine::startSucceeded(const state::WorkerId& worker)
{
    m_histories.erase(worker);
}

void WorkerQuarantine::probeStarted(const state::WorkerId& worker, const state::JobId& job)
{
    auto found = m_histories.find(worker);
    if (found != m_histories.end() && found->second.quarantinedUntil && found->second.probe.empty())
        found->second.probe = job;
}

void WorkerQuarantine::probeAbandoned(const state::WorkerId& worker, const state::JobId& job)
{
    auto found = m_histories.find(worker);
    if (found != m_histories.end() && found->second.probe == job)
        found->second.probe = state::JobId();
}

void WorkerQuarantine::probeVanished(const state::WorkerId& worker)
{
    if (auto found = m_histories.find(worker); found != m_histories.end())
        found->second.probe = state::JobId();
}

WorkerQuarantine::State WorkerQuarantine::state(const state::WorkerId& worker, state::MonotonicTime now) const
{
    auto found = m_histories.find(worker);
    if (found == m_histories.end() || !found->second.quarantinedUntil)
        return State::Available;
    return now < *found->second.quarantinedUntil || !found->second.probe.empty() ? State::Quarantined : State::Probing;
}

std::optional<state::MonotonicTime> WorkerQuarantine::nextChange(state::MonotonicTime now) const
{
    std::optional<state::MonotonicTime> next;
    for (const auto& [worker, history] : m_histories) {
        if (history.quarantinedUntil && *history.quarantinedUntil > now && (!next || *history.quarantinedUntil < *next))
            next = history.quarantinedUntil;
    }
    return next;
}

} // namespace lentilsaddle::coordination
