/// @file
/// Time types used in every signature that holds a time.
#pragma once

#include <chrono>
#include <functional>

namespace lentilsaddle::state {

/// Point on the process's own monotonic clock. Used for deadlines and leases; never sent to another process.
using MonotonicTime = std::chrono::steady_clock::time_point;

/// Point on the wall clock in microseconds. Used for display in the timeline only, never for a decision.
using WallTime = std::chrono::sys_time<std::chrono::microseconds>;

/// Hook that reads the monotonic clock; tests supply a manual clock.
using MonotonicClock = std::function<MonotonicTime()>;

/// Hook that reads the wall clock; tests supply a manual clock.
using WallClock = std::function<WallTime()>;

} // namespace lentilsaddle::state
