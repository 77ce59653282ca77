/// @file
/// Client account with its guarantees and share.
#pragma once

#include "state/Guarantee.h"
#include "state/Identifier.h"

#include <vector>

namespace lentilsaddle::state {

struct ClientAccount {
    AccountId id;
    /// Relative share of request capacity under contention, 1 to 1000.
    int weight = 1;
    std::vector<Guarantee> guarantees;

    bool operator==(const ClientAccount&) const = default;
};

} // namespace lentilsaddle::state
