/// @file
/// Machine with accelerators, as the platform lists it.
#pragma once

#include "state/Identifier.h"

#include <string>

namespace lentilsaddle::state {

struct Worker {
    WorkerId id;
    RackId rack;
    /// Place in the rack, counted from 0; neighbours are adjacent.
    int position = 0;
    int accelerators = 0;
    /// Control address, `ip:port`.
    std::string address;

    bool operator==(const Worker&) const = default;
};

} // namespace lentilsaddle::state
