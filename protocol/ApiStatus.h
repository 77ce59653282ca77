/// @file
/// Status of an entry instance as the API reports it.
#pragma once

#include "state/Configuration.h"
#include "state/Identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::protocol {

struct ApiStatus {
    struct Peer {
        state::InstanceId instance;
        state::DataCentreId dataCentre;
        bool reachable = false;
        state::ConfigurationVersion configurationVersion = 0;
    };

    state::InstanceId instance;
    state::DataCentreId dataCentre;
    bool ready = false;
    /// Why the instance is not ready.
    std::string reason;
    bool draining = false;
    state::ConfigurationVersion configurationVersion = 0;
    state::InstanceId scheduler;
    std::uint64_t schedulerEpoch = 0;
    std::size_t queuedJobs = 0;
    std::size_t runningJobs = 0;
    int accelerators = 0;
    int freeAccelerators = 0;
    std::vector<Peer> peers;
};

} // namespace lentilsaddle::protocol
