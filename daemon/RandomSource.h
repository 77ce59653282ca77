/// @file
/// Random numbers of a process.
#pragma once

#include <cstdint>
#include <functional>

namespace lentilsaddle::daemon {

/// @return a source for identifiers and for spreading load; safe from any thread.
std::function<std::uint64_t()> makeRandomSource();

} // namespace lentilsaddle::daemon
