/// @file
/// Entry instances as this one sees them.
#pragma once

#include "state/Configuration.h"
#include "state/InstanceInfo.h"

#include <map>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Combines the lagging instance list with the results of exchanges. It is a hint; safety never rests on it.
class Membership {
public:
    /// What a peer says of itself.
    struct PeerState {
        bool draining = false;
        state::ConfigurationVersion configurationVersion = 0;
        bool logReachable = false;
    };

    struct Peer {
        enum class Contact {
            Untried,
            Reachable,
            Unreachable,
        };
        state::InstanceInfo info;
        Contact contact = Contact::Untried;
        PeerState state;
    };

    explicit Membership(state::InstanceInfo self);

    /// Takes over a new list. An empty one is ignored, since it is more likely a fault of the list than the end of all
    /// instances.
    /// @return whether the list differs from the last one.
    bool updateList(const std::vector<state::InstanceInfo>& list);

    /// Notes an answered exchange.
    void recordResponse(const state::InstanceId& peer, const PeerState& state);
    /// Notes an exchange that was not answered.
    void recordFailure(const state::InstanceId& peer);
    /// Notes what a peer told without being asked, which does not prove that it can be reached.
    void recordReportedState(const state::InstanceId& peer, const PeerState& state);

    /// @return the last list.
    const std::vector<state::InstanceInfo>& list() const { return m_list; }

    /// @return the other entry instances in the list.
    const std::map<state::InstanceId, Peer>& peers() const { return m_peers; }

    /// @return the live entry instances of the own data centre, this one included even if the list lacks it.
    std::vector<state::InstanceInfo> liveMembers() const;

    /// @return whether each peer has answered an exchange or failed to.
    bool allTried() const;

    /// @return the highest configuration version of the reachable peers, 0 if there are none.
    state::ConfigurationVersion highestConfigurationVersion() const;

    /// @return the reachable peers with the highest configuration version.
    std::vector<state::InstanceInfo> newestConfigurations() const;

    /// @return the reachable peers that reach the log service.
    std::vector<state::InstanceInfo> logRelays() const;

private:
    state::InstanceInfo m_self;
    std::vector<state::InstanceInfo> m_list;
    std::map<state::InstanceId, Peer> m_peers;
};

} // namespace lentilsaddle::coordination
