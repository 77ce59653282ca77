/// @file
/// Work that preemption throws away, and the waits of each priority, on drawn arrivals.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <ostream>

namespace lentilsaddle::bench {

struct PreemptionBenchOptions {
    std::uint32_t seed = 1;
    int workers = 96;
    /// Time in which jobs arrive.
    std::chrono::seconds length { 60 };
    /// Offered work as a share of the accelerators.
    double load = 1.1;
    /// Freed capacity is held for the unit that preempted.
    bool hold = true;
};

struct PreemptionBenchResult {
    static constexpr std::size_t priorities = 3;

    int stoppedRuns = 0;
    /// Largest number of stops of one task.
    int mostStops = 0;
    /// Share of all core-seconds that ended with a stop.
    double lostShare = 0;
    /// Mean time from arrival to the completion of a job, by priority.
    std::array<std::chrono::milliseconds, priorities> meanCompletion {};
    /// Longest wait of an urgent job until all its tasks have started for good.
    std::chrono::milliseconds longestUrgentWait { 0 };
    /// Jobs that did not complete, by priority.
    std::array<int, priorities> incomplete {};
};

/// Plays one list of arrivals against the planner: waves of urgent gangs that need whole workers of one rack, wide
/// gangs of priority 1 and jobs of many small tasks of priority 2. Stops take some time, and stopped tasks start from
/// scratch.
PreemptionBenchResult simulatePreemption(const PreemptionBenchOptions& options);

/// Writes the results of several seeds, with and without holds.
void runPreemptionBench(std::uint32_t firstSeed, int seeds, double load, std::ostream& output);

} // namespace lentilsaddle::bench
