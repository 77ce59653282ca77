/// @file
/// Random number source of the process.
#pragma once

#include <cstdint>
#include <functional>

namespace lentilsaddle::daemon {

/// @return a generator of uniformly distributed 64-bit numbers, seeded by the system, for identifiers and load
/// balancing; safe from any thread. Not for cryptographic use.
std::function<std::uint64_t()> makeRandomSource();

} // namespace lentilsaddle::daemon
