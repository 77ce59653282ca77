/// @file
/// Client account of the batch part.
#pragma once

#include "state/Identifier.h"

#include <cstdint>
#include <set>
#include <string>

namespace lentilsaddle::state::batch {

struct BatchAccount {
    AccountId id;
    std::set<std::string> apiKeys;
    /// Accelerators that belong to the account's jobs of priority 0 at all times.
    std::int64_t guaranteedAccelerators = 0;
};

} // namespace lentilsaddle::state::batch
