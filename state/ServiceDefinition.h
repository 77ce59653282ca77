/// @file
/// Service that runs on backend servers.
#pragma once

#include "state/Identifier.h"

namespace lentilsaddle::state {

struct ServiceDefinition {
    ServiceId id;
    /// Requests that one backend server runs at the same time.
    int slotsPerServer = 8;
    /// Connections that one backend server accepts from all instances together.
    int connectionsPerServer = 64;

    bool operator==(const ServiceDefinition&) const = default;
};

} // namespace lentilsaddle::state
