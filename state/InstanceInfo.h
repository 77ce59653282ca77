/// @file
/// Entry of the platform's instance list.
#pragma once

#include "state/Identifier.h"

#include <string>

namespace lentilsaddle::state {

struct InstanceInfo {
    enum class Kind {
        Entry,
        BackendServer,
    };
    enum class State {
        Live,
        Leaving,
    };

    InstanceId name;
    Kind kind = Kind::Entry;
    State state = State::Live;
    DataCentreId dataCentre;
    /// `ip:port`: the peer port of an entry instance, the HTTP port of a backend server.
    std::string address;
    /// Service that a backend server runs.
    ServiceId service;

    bool operator==(const InstanceInfo&) const = default;
};

} // namespace lentilsaddle::state
