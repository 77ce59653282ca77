#include "coordination/decisions/Membership.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

Membership::Membership(state::InstanceInfo self)
    : m_self(std::move(self))
{
}

bool Membership::updateList(const std::vector<state::InstanceInfo>& list)
{
    if (list.empty() || list == m_list)
        return false;
    m_list = list;
    std::map<state::InstanceId, Peer> previous = std::exchange(m_peers, {});
    for (const state::InstanceInfo& instance : m_list) {
        if (instance.kind != state::InstanceInfo::Kind::Entry || instance.name == m_self.name)
            continue;
        Peer peer { .info = instance, .contact = Peer::Contact::Untried, .state = {} };
        auto known = previous.find(instance.name);
        // A new address belongs to a replaced instance, of which nothing is known yet.
        if (known != previous.end() && known->second.info.address == instance.address) {
            peer.contact = known->second.contact;
            peer.state = known->second.state;
        }
        m_peers.emplace(instance.name, std::move(peer));
    }
    return true;
}

void Membership::recordResponse(const state::InstanceId& peer, const PeerState& state)
{
    auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    found->second.contact = Peer::Contact::Reachable;
    found->second.state = state;
}

void Membership::recordFailure(const state::InstanceId& peer)
{
    auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second.contact = Peer::Contact::Unreachable;
}

void Membership::recordReportedState(const state::InstanceId& peer, const PeerState& state)
{
    auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second.state = state;
}

std::vector<state::InstanceInfo> Membership::liveMembers() const
{
    std::vector<state::InstanceInfo> members { m_self };
    for (const auto& [name, peer] : m_peers) {
        bool live = peer.info.state == state::InstanceInfo::State::Live && !peer.state.draining
            && peer.contact != Peer::Contact::Unreachable;
        if (live && peer.info.dataCentre == m_self.dataCentre)
            members.push_back(peer.info);
    }
    return members;
}

bool Membership::allTried() const
{
    return std::all_of(m_peers.begin(), m_peers.end(),
        [](const auto& entry) { return entry.second.contact != Peer::Contact::Untried; });
}

state::ConfigurationVersion Membership::highestConfigurationVersion() const
{
    state::ConfigurationVersion highest = 0;
    for (const auto& [name, peer] : m_peers) {
        if (peer.contact == Peer::Contact::Reachable)
            highest = std::max(highest, peer.state.configurationVersion);
    }
    return highest;
}

std::vector<state::InstanceInfo> Membership::newestConfigurations() const
{
    std::vector<state::InstanceInfo> newest;
    state::ConfigurationVersion highest = highestConfigurationVersion();
    for (const auto& [name, peer] : m_peers) {
        if (peer.contact == Peer::Contact::Reachable && peer.state.configurationVersion == highest)
            newest.push_back(peer.info);
    }
    return newest;
}

std::vector<state::InstanceInfo> Membership::logRelays() const
{
    std::vector<state::InstanceInfo> relays;
    for (const auto& [name, peer] : m_peers) {
        if (peer.contact == Peer::Contact::Reachable && peer.state.logReachable)
            relays.push_back(peer.info);
    }
    return relays;
}

} // namespace lentilsaddle::coordination
