/// @file
/// Record of the leader.
#pragma once

#include "state/Identifier.h"

#include <cstdint>

namespace lentilsaddle::state::batch {

struct LeaderRecord {
    /// Rises with each leader; the fencing token of its orders.
    std::uint64_t term = 0;
    InstanceId instance;
    /// Random number of the leader's process.
    std::uint64_t incarnation = 0;
    /// The leader has given the role up.
    bool vacant = false;

    bool operator==(const LeaderRecord&) const = default;
};

} // namespace lentilsaddle::state::batch
