/// @file
/// Dependencies that are passed to each task at construction.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lentilsaddle::transport {
class Metrics;
}

namespace lentilsaddle::coordination {

/// Identity of the process, and hooks for behaviour that differs between production and tests.
struct TaskEnvironment {
    state::InstanceId instance;
    state::DataCentreId dataCentre;
    /// Random number generated at process start; identifies this process lifetime.
    std::uint64_t incarnation = 0;
    state::MonotonicClock monotonicClock;
    state::WallClock wallClock;
    /// Uniformly distributed 64-bit numbers.
    std::function<std::uint64_t()> random;
    /// Records an event of the time line: subject identifier, kind, detail. Safe from any thread.
    std::function<void(std::string subject, std::string kind, std::string detail)> recordEvent;
    /// Called at named steps, so that tests can inject a fault there. Does nothing in production.
    std::function<void(std::string_view step)> faultPoint;
    /// Shared registry; outlives all tasks.
    transport::Metrics* metrics = nullptr;
};

} // namespace lentilsaddle::coordination
