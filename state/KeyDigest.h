/// @file
/// Digest of an idempotency key.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace lentilsaddle::state {

/// 128-bit digest of account, service and idempotency key (XXH3).
struct KeyDigest {
    std::array<std::uint8_t, 16> bytes {};

    /// Computes the digest. Each part is delimited, so that ("a", "bc") and ("ab", "c") differ.
    static KeyDigest of(std::string_view account, std::string_view service, std::string_view key);

    auto operator<=>(const KeyDigest&) const = default;
};

} // namespace lentilsaddle::state
