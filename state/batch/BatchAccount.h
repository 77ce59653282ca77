/// @file
/// Client account of the batch subsystem.
#pragma once

#include "state/Identifier.h"

#include <cstdint>
#include <set>
#include <string>

namespace lentilsaddle::state::batch {

struct BatchAccount {
    AccountId id;
    std::set<std::string> apiKeys;
    /// Accelerators guaranteed to the account's jobs of priority 0.
    std::int64_t guaranteedAccelerators = 0;
};

} // namespace lentilsaddle::state::batch
