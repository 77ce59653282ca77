/// @file
/// Worker with accelerators, as listed by the platform.
#pragma once

#include "state/Identifier.h"

#include <string>

namespace lentilsaddle::state {

struct Worker {
    WorkerId id;
    RackId rack;
    /// Position in the rack, counted from 0; consecutive positions are adjacent.
    int position = 0;
    int accelerators = 0;
    /// Control address, `ip:port`.
    std::string address;

    bool operator==(const Worker&) const = default;
};

} // namespace lentilsaddle::state
