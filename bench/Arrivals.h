/// @file
/// Reproducible lists of job arrivals for the placement benchmarks.
#pragma once

#include "state/Configuration.h"
#include "state/JobSpecification.h"
#include "state/Time.h"
#include "state/Worker.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lentilsaddle::bench {

enum class SizeClass {
    /// Up to 8 accelerators on one worker.
    Small,
    /// 16 to 24 accelerators in one rack.
    Medium,
    /// 32 or 64 accelerators in one rack.
    Large,
};

constexpr std::string_view toString(SizeClass size)
{
    return size == SizeClass::Small ? "small" : size == SizeClass::Medium ? "medium" : "large";
}

struct Arrival {
    state::JobSpecification specification;
    SizeClass size = SizeClass::Small;
    state::MonotonicTime time;
    /// Actual run time; the declared run time is 1/4 to 4 times as long.
    std::chrono::seconds runTime { 0 };
};

struct ArrivalOptions {
    std::uint32_t seed = 1;
    std::chrono::hours length { 24 };
    /// Offered work as a share of the site's 384 accelerators.
    double load = 0.85;
};

/// @return arrivals sorted by time: a steady mix, and every six hours a burst of 60 small and 4 large jobs.
std::vector<Arrival> makeArrivals(const ArrivalOptions& options);

/// @return workers of the site at its present size: 48 workers with 8 accelerators each, 8 workers per rack.
std::vector<state::Worker> siteWorkers();

/// @return configuration of four accounts whose guarantees total 256 of the site's 384 accelerators.
state::Configuration siteConfiguration();

} // namespace lentilsaddle::bench
