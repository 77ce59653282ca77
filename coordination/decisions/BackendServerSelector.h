/// @file
/// Selection of the backend server for a request.
#pragma once

#include "state/Identifier.h"
#include "state/InstanceInfo.h"
#include "state/ServiceDefinition.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Balances the requests of one service over its backend servers, by the load that this instance knows of.
class BackendServerSelector {
public:
    struct Hooks {
        /// Uniformly distributed 64-bit numbers.
        std::function<std::uint64_t()> random;
    };

    struct Server {
        std::string address;
        state::DataCentreId dataCentre;
        /// Listed as live; a leaving server stays known until its outstanding requests are completed.
        bool live = true;
        /// Requests that this instance has dispatched and that are not completed.
        int outstanding = 0;
        /// Requests of other instances, from the occupancy that the server last reported.
        int othersOccupancy = 0;
    };

    /// Whether a server may get a request, for example according to the outlier detector.
    using Filter = std::function<bool(const state::InstanceId&)>;

    BackendServerSelector(state::DataCentreId localDataCentre, Hooks hooks);

    /// Sets the number of slots and connections of each server.
    void setService(const state::ServiceDefinition& service) { m_service = service; }

    /// Replaces the list of servers. Counts of servers that stay are kept.
    /// @param liveEntryInstances number of instances that share the servers' connections and slots.
    void setServers(const std::vector<state::InstanceInfo>& servers, int liveEntryInstances);

    /// Picks two random servers with free capacity, in the local data centre if it has any, and chooses the less loaded
    /// one.
    /// @param avoided server of the previous attempt, used only if there is no other; may be empty.
    std::optional<state::InstanceId> select(const Filter& filter, const state::InstanceId& avoided) const;

    void recordDispatch(const state::InstanceId& server);

    /// @param occupancy number of running requests that the server reported, if it did.
    void recordCompletion(const state::InstanceId& server, std::optional<int> occupancy);

    const std::map<state::InstanceId, Server>& servers() const { return m_servers; }
    bool anyLive() const;
    int outstanding() const;

private:
    bool hasCapacity(const Server& server) const;
    std::vector<state::InstanceId> candidates(const Filter& filter, bool local, const state::InstanceId& avoided) const;
    state::InstanceId lessLoaded(const std::vector<state::InstanceId>& candidates) const;

    state::DataCentreId m_localDataCentre;
    Hooks m_hooks;
    state::ServiceDefinition m_service;
    int m_liveEntryInstances = 1;
    std::map<state::InstanceId, Server> m_servers;
};

} // namespace lentilsaddle::coordination
