/// @file
/// Identity of a log record across repeated appends.
#pragma once

#include "state/Identifier.h"

#include <compare>
#include <cstdint>

namespace lentilsaddle::state {

struct Origin {
    InstanceId instance;
    /// Random number drawn when the process started; distinguishes the processes of a restarted instance.
    std::uint64_t incarnation = 0;
    /// Counts the records of one incarnation, from 1.
    std::uint64_t sequence = 0;

    auto operator<=>(const Origin&) const = default;
};

} // namespace lentilsaddle::state
