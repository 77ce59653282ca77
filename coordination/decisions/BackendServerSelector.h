/// @file
/// Choice of the backend server for a request.
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

/// Runners of one service as this instance sees them.
class BackendServerSelector {
public:
    struct Hooks {
        /// Uniformly distributed 64-bit numbers.
        std::function<std::uint64_t()> random;
    };

    struct Server {
        std::string address;
        state::DataCentreId dataCentre;
        /// Listed as live; a leaving runner stays known until its requests are answered.
        bool live = true;
        /// Requests that this instance has handed over and that are not answered.
        int outstanding = 0;
        /// Requests of other instances, from the occupancy that the runner last reported.
        int othersOccupancy = 0;
    };

    /// Tells whether a runner may be given a request, such as by the outlier detector.
    using Filter = std::function<bool(const state::InstanceId&)>;

    BackendServerSelector(state::DataCentreId localDataCentre, Hooks hooks);

    /// Sets how many slots and connections a runner has.
    void setService(const state::ServiceDefinition& service) { m_service = service; }

    /// Replaces the list of runners. Counts of runners that stay are kept.
    /// @param liveEntryInstances instances that share the runners' connections and slots.
    void setServers(const std::vector<state::InstanceInfo>& servers, int liveEntryInstances);

    /// Picks two random runners with room, in the local data centre if any, and chooses the less loaded one.
    /// @param avoided runner of the previous attempt, used only if there is no other; may be empty.
    std::optional<state::InstanceId> select(const Filter& filter, const state::InstanceId& avoided) const;

    void recordDispatch(const state::InstanceId& server);

    /// @param occupancy requests that the runner reported to run, if it did.
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
