#include "tests/standin/BackendJournal.h"

#include "tests/standin/JsonHttp.h"

namespace lentilsaddle::standin {

using nlohmann::json;

BackendJournal::BackendJournal(int servers)
    : m_servers(static_cast<std::size_t>(servers))
{
}

void BackendJournal::recordRun(int server, const std::string& requestId, const std::string& key, Time now)
{
    Server& entry = m_servers.at(static_cast<std::size_t>(server));
    recordArrival(entry, now);
    ++entry.runs;
    ++m_requestRuns[requestId];
    if (!key.empty())
        ++m_keyRuns[key];
}

void BackendJournal::recordRefusal(int server, Time now)
{
    Server& entry = m_servers.at(static_cast<std::size_t>(server));
    recordArrival(entry, now);
    ++entry.refusals;
}

void BackendJournal::recordArrival(Server& server, Time now)
{
    server.lastArrivalMs = toJournalTime(now);
    if (server.drainingSinceMs > 0)
        server.arrivalsWhileDrainingMs.push_back(server.lastArrivalMs);
}

void BackendJournal::recordDraining(int server, Time now)
{
    m_servers.at(static_cast<std::size_t>(server)).drainingSinceMs = toJournalTime(now);
}

json BackendJournal::toJson() const
{
    json servers = json::array();
    for (const Server& server : m_servers) {
        servers.push_back({ { "runs", server.runs }, { "refusals", server.refusals },
            { "last_arrival_ms", server.lastArrivalMs }, { "leaving_since_ms", server.drainingSinceMs },
            { "arrivals_while_leaving_ms", server.arrivalsWhileDrainingMs } });
    }
    return { { "now_ms", toJournalTime(std::chrono::steady_clock::now()) }, { "request_ids", m_requestRuns },
        { "idempotency_keys", m_keyRuns }, { "servers", servers } };
}

} // namespace lentilsaddle::standin
