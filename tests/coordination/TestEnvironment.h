/// @file
/// Environment of a task under test.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "transport/Metrics.h"

#include <atomic>
#include <memory>
#include <string>

namespace lentilsaddle::coordination {

/// @return an environment with real clocks, a counter instead of random numbers and no faults.
inline TaskEnvironment makeTestEnvironment(const std::string& instance, transport::Metrics& metrics)
{
    return {
        .instance = state::InstanceId(instance),
        .dataCentre = state::DataCentreId("d1"),
        .incarnation = 7,
        .monotonicClock = [] { return std::chrono::steady_clock::now(); },
        .wallClock
        = [] { return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now()); },
        .random = [counter = std::make_shared<std::atomic<std::uint64_t>>()] { return ++*counter; },
        .recordEvent = [](const std::string&, const std::string&, const std::string&) {},
        .faultPoint = [](std::string_view) {},
        .metrics = &metrics,
    };
}

} // namespace lentilsaddle::coordination
