/// @file
/// Status that entry instances send each other.
#pragma once

#include "state/Configuration.h"
#include "state/Identifier.h"

#include <cstdint>

namespace lentilsaddle::protocol {

struct PeerStatus {
    state::InstanceId instance;
    std::uint64_t incarnation = 0;
    state::DataCentreId dataCentre;
    state::ConfigurationVersion configurationVersion = 0;
    std::uint64_t schedulerEpoch = 0;
    state::InstanceId scheduler;
    bool draining = false;
    bool logReachable = false;
};

} // namespace lentilsaddle::protocol
