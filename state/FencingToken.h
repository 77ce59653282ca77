/// @file
/// Token that orders the owners of a lease.
#pragma once

#include <compare>
#include <cstdint>

namespace lentilsaddle::state {

/// A worker refuses a token whose epoch is below the highest that it has seen.
struct FencingToken {
    /// Epoch of the data centre's scheduler, from its claim in the log.
    std::uint64_t epoch = 0;
    /// Counts the start attempts of one epoch.
    std::uint64_t sequence = 0;

    auto operator<=>(const FencingToken&) const = default;
};

} // namespace lentilsaddle::state
