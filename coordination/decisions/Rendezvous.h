/// @file
/// Rendezvous (highest random weight) hashing.
#pragma once

#include "state/Identifier.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace lentilsaddle::coordination {

/// @return the score of an instance for a key; the instance with the highest score owns the key.
std::uint64_t rendezvousScore(const state::InstanceId& instance, std::string_view key);

/// @return the instances ordered by descending score for the key.
std::vector<state::InstanceId> rendezvousOrder(std::vector<state::InstanceId> instances, std::string_view key);

} // namespace lentilsaddle::coordination
