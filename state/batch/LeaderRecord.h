/// @file
/// Journal record of the leader.
#pragma once

#include "state/Identifier.h"

#include <cstdint>

namespace lentilsaddle::state::batch {

struct LeaderRecord {
    /// Increases with each leader; serves as the fencing token of its requests to workers.
    std::uint64_t term = 0;
    InstanceId instance;
    /// Random number of the leader's process.
    std::uint64_t incarnation = 0;
    /// The leader has stepped down.
    bool vacant = false;

    bool operator==(const LeaderRecord&) const = default;
};

} // namespace lentilsaddle::state::batch
