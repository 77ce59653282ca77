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
class RunnerSelector {
public:
    struct Hooks {
        /// Uniformly distributed 64-bit numbers.
        std::function<std::uint64_t()> random;
    };

    struct Runner {
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

    RunnerSelector(state::DataCentreId localDataCentre, Hooks hooks);

    /// Sets how many slots and connections a runner has.
    void setService(const state::ServiceDefinition& service) { m_service = service; }

    /// Replaces the list of runners. Counts of runners that stay are kept.
    /// @param liveEntryInstances instances that share the runners' connections and slots.
    void setRunners(const std::vector<state::InstanceInfo>& runners, int liveEntryInstances);

    /// Picks two random runners with room, in the local data centre if any, and chooses the less loaded one.
    /// @param avoided runner of the previous attempt, used only if there is no other; may be empty.
    std::optional<state::InstanceId> select(const Filter& filter, const state::InstanceId& avoided) const;

    void recordHandOver(const state::InstanceId& runner);

    /// @param occupancy requests that the runner reported to run, if it did.
    void recordEnd(const state::InstanceId& runner, std::optional<int> occupancy);

    const std::map<state::InstanceId, Runner>& runners() const { return m_runners; }
    bool anyLive() const;
    int outstanding() const;

private:
    bool hasRoom(const Runner& runner) const;
    std::vector<state::InstanceId> candidates(const Filter& filter, bool local, const state::InstanceId& avoided) const;
    state::InstanceId lessLoaded(const std::vector<state::InstanceId>& candidates) const;

    state::DataCentreId m_localDataCentre;
    Hooks m_hooks;
    state::ServiceDefinition m_service;
    int m_liveEntryInstances = 1;
    std::map<state::InstanceId, Runner> m_runners;
};

} // namespace lentilsaddle::coordination
