#include "coordination/decisions/OutlierDetector.h"

#include <algorithm>

namespace lentilsaddle::coordination {

OutlierDetector::OutlierDetector(const OutlierDetectorOptions& options)
    : m_options(options)
{
}

bool OutlierDetector::available(const state::InstanceId& server, state::MonotonicTime now) const
{
    auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.ejectedUntil)
        return true;
    return !found->second.probing && now >= *found->second.ejectedUntil;
}

void OutlierDetector::recordDispatch(const state::InstanceId& server)
{
    auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second.ejectedUntil)
        found->second.probing = true;
}

void OutlierDetector::recordSuccess(const state::InstanceId& server)
{
    auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    // An answer to a request from before the ejection must not bring back a runner that is leaving.
    if (!found->second.ejectedUntil || found->second.probing)
        m_servers.erase(found);
}

bool OutlierDetector::recordFailure(const state::InstanceId& server, state::MonotonicTime now)
{
    Server& entry = m_servers[server];
    ++entry.failuresInRow;
    // Requests that were in flight when the runner was ejected do not lengthen the ejection; a failed probe does.
    bool ejects = entry.ejectedUntil ? entry.probing : entry.failuresInRow >= m_options.failuresToEject;
    if (ejects)
        eject(entry, now);
    return ejects;
}

void OutlierDetector::recordRefusal(const state::InstanceId& server, state::MonotonicTime now)
{
    Server& entry = m_servers[server];
    if (!entry.ejectedUntil || entry.probing)
        eject(entry, now);
}

void OutlierDetector::recordLeaving(const state::InstanceId& server, state::MonotonicTime now)
{
    Server& entry = m_servers[server];
    entry.ejectedUntil = now + m_options.leavingEjection;
    entry.probing = false;
}

void OutlierDetector::forget(const state::InstanceId& server)
{
    m_servers.erase(server);
}

void OutlierDetector::eject(Server& server, state::MonotonicTime now)
{
    auto pause = m_options.initialEjection;
    for (int i = 0; i < server.ejections && pause < m_options.maximumEjection; ++i)
        pause *= 2;
    ++server.ejections;
    server.ejectedUntil = now + std::min(pause, m_options.maximumEjection);
    server.probing = false;
}

std::optional<state::MonotonicTime> OutlierDetector::nextProbe(state::MonotonicTime now) const
{
    std::optional<state::MonotonicTime> next;
    for (const auto& [id, server] : m_servers) {
        if (!server.ejectedUntil || server.probing || *server.ejectedUntil <= now)
            continue;
        if (!next || *server.ejectedUntil < *next)
            next = server.ejectedUntil;
    }
    return next;
}

} // namespace lentilsaddle::coordination
