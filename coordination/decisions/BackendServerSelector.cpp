#include "coordination/decisions/BackendServerSelector.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

BackendServerSelector::BackendServerSelector(state::DataCentreId localDataCentre, Hooks hooks)
    : m_localDataCentre(std::move(localDataCentre))
    , m_hooks(std::move(hooks))
{
}

void BackendServerSelector::setServers(const std::vector<state::InstanceInfo>& servers, int liveEntryInstances)
{
    m_liveEntryInstances = std::max(1, liveEntryInstances);
    for (auto& [id, server] : m_servers)
        server.live = false;
    for (const state::InstanceInfo& info : servers) {
        Server& server = m_servers[info.name];
        server.address = info.address;
        server.dataCentre = info.dataCentre;
        server.live = info.state == state::InstanceInfo::State::Live;
    }
    std::erase_if(m_servers, [](const auto& item) { return !item.second.live && item.second.outstanding == 0; });
}

std::optional<state::InstanceId> BackendServerSelector::select(
    const Filter& filter, const state::InstanceId& avoided) const
{
    for (bool local : { true, false }) {
        std::vector<state::InstanceId> found = candidates(filter, local, avoided);
        if (!found.empty())
            return lessLoaded(found);
    }
    if (avoided.empty())
        return std::nullopt;
    return select(filter, state::InstanceId());
}

bool BackendServerSelector::hasCapacity(const Server& server) const
{
    int connections = std::max(1, m_service.connectionsPerServer / m_liveEntryInstances);
    if (!server.live || server.outstanding >= connections)
        return false;
    // Rounded up, so that the instances together can use all slots; the runner refuses what exceeds them.
    int slots = (m_service.slotsPerServer + m_liveEntryInstances - 1) / m_liveEntryInstances;
    return server.outstanding < slots || server.outstanding + server.othersOccupancy < m_service.slotsPerServer;
}

std::vector<state::InstanceId> BackendServerSelector::candidates(
    const Filter& filter, bool local, const state::InstanceId& avoided) const
{
    std::vector<state::InstanceId> found;
    for (const auto& [id, server] : m_servers) {
        bool isLocal = server.dataCentre == m_localDataCentre;
        if (isLocal == local && id != avoided && hasCapacity(server) && filter(id))
            found.push_back(id);
    }
    return found;
}

state::InstanceId BackendServerSelector::lessLoaded(const std::vector<state::InstanceId>& candidates) const
{
    if (candidates.size() == 1)
        return candidates.front();
    std::size_t first = m_hooks.random() % candidates.size();
    // Drawn from the others, so that the two differ.
    std::size_t second = (first + 1 + m_hooks.random() % (candidates.size() - 1)) % candidates.size();
    const Server& one = m_servers.at(candidates[first]);
    const Server& other = m_servers.at(candidates[second]);
    bool otherIsLess = other.outstanding + other.othersOccupancy < one.outstanding + one.othersOccupancy;
    return candidates[otherIsLess ? second : first];
}

void BackendServerSelector::recordDispatch(const state::InstanceId& server)
{
    auto found = m_servers.find(server);
    if (found != m_servers.end())
        ++found->second.outstanding;
}

void BackendServerSelector::recordCompletion(const state::InstanceId& server, std::optional<int> occupancy)
{
    auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    Server& entry = found->second;
    if (entry.outstanding > 0)
        --entry.outstanding;
    // The reported occupancy includes this instance's own requests, which are counted here more exactly.
    if (occupancy)
        entry.othersOccupancy = std::max(0, *occupancy - entry.outstanding);
    if (!entry.live && entry.outstanding == 0)
        m_servers.erase(found);
}

bool BackendServerSelector::anyLive() const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [](const auto& item) { return item.second.live; });
}

int BackendServerSelector::outstanding() const
{
    int sum = 0;
    for (const auto& [id, server] : m_servers)
        sum += server.outstanding;
    return sum;
}

} // namespace lentilsaddle::coordination
