#include "coordination/decisions/OutlierDetector.h"

#include <algorithm>

namespace lentilsaddle::coordination {

OutlierDetector::OutlierDetector(const OutlierDetectorOptions& options)
    : m_options(options)
{
}

bool OutlierDetector::available(const state::InstanceId& runner, state::MonotonicTime now) const
{
    auto found = m_runners.find(runner);
    if (found == m_runners.end() || !found->second.ejectedUntil)
        return true;
    return !found->second.probing && now >= *found->second.ejectedUntil;
}

void OutlierDetector::recordHandOver(const state::InstanceId& runner)
{
    auto found = m_runners.find(runner);
    if (found != m_runners.end() && found->second.ejectedUntil)
        found->second.probing = true;
}

void OutlierDetector::recordSuccess(const state::InstanceId& runner)
{
    auto found = m_runners.find(runner);
    if (found == m_runners.end())
        return;
    // An answer to a request from before the ejection must not bring back a runner that is leaving.
    if (!found->second.ejectedUntil || found->second.probing)
        m_runners.erase(found);
}

bool OutlierDetector::recordFailure(const state::InstanceId& runner, state::MonotonicTime now)
{
    Runner& entry = m_runners[runner];
    ++entry.failuresInRow;
    // Requests that were in flight when the runner was ejected do not lengthen the ejection; a failed probe does.
    bool ejects = entry.ejectedUntil ? entry.probing : entry.failuresInRow >= m_options.failuresToEject;
    if (ejects)
        eject(entry, now);
    return ejects;
}

void OutlierDetector::recordRefusal(const state::InstanceId& runner, state::MonotonicTime now)
{
    Runner& entry = m_runners[runner];
    if (!entry.ejectedUntil || entry.probing)
        eject(entry, now);
}

void OutlierDetector::recordLeaving(const state::InstanceId& runner, state::MonotonicTime now)
{
    Runner& entry = m_runners[runner];
    entry.ejectedUntil = now + m_options.leavingPause;
    entry.probing = false;
}

void OutlierDetector::forget(const state::InstanceId& runner)
{
    m_runners.erase(runner);
}

void OutlierDetector::eject(Runner& runner, state::MonotonicTime now)
{
    auto pause = m_options.initialEjection;
    for (int i = 0; i < runner.ejections && pause < m_options.maximumEjection; ++i)
        pause *= 2;
    ++runner.ejections;
    runner.ejectedUntil = now + std::min(pause, m_options.maximumEjection);
    runner.probing = false;
}

std::optional<state::MonotonicTime> OutlierDetector::nextProbe(state::MonotonicTime now) const
{
    std::optional<state::MonotonicTime> next;
    for (const auto& [id, runner] : m_runners) {
        if (!runner.ejectedUntil || runner.probing || *runner.ejectedUntil <= now)
            continue;
        if (!next || *runner.ejectedUntil < *next)
            next = runner.ejectedUntil;
    }
    return next;
}

} // namespace lentilsaddle::coordination
