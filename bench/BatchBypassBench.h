/// @file
/// Waits of batch gangs and of small batch jobs behind them, on fixed arrivals.
#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>

namespace lentilsaddle::bench {

struct BatchBypassOptions {
    std::uint32_t seed = 1;
    int workers = 48;
    /// Time in which jobs arrive.
    std::chrono::seconds length { 120 };
    /// Offered work as a share of the accelerators.
    double load = 0.85;
    /// A gang of the highest priority that needs more workers than there are arrives first.
    bool oversizedGang = false;
    /// The planner knows what runs, and lends the capacity that gangs have reserved.
    bool lending = false;
};

struct BatchBypassResult {
    /// Jobs that had started at the end, without the oversized gang.
    int started = 0;
    /// Jobs that had arrived.
    int arrived = 0;
    /// Runs on lent capacity that were stopped.
    int stopped = 0;
    std::chrono::milliseconds longestGangWait { 0 };
    std::chrono::milliseconds longestSmallWait { 0 };
    std::chrono::milliseconds meanSmallWait { 0 };
    /// Largest number of small jobs that started before a gang that had arrived earlier.
    int largestBypass = 0;
    /// Mean share of the accelerators in use until the last arrival.
    double utilisation = 0;
};

/// Plays one list of arrivals against the planner: small jobs of one task, and a gang of a sixth to a half of the
/// workers every four seconds. The arrivals do not depend on the oversized gang.
BatchBypassResult simulateBatchBypass(const BatchBypassOptions& options);

/// Writes the results for several seeds, with and without an oversized gang, and with lent capacity.
void runBatchBypassBench(std::uint32_t firstSeed, int seeds, double load, std::ostream& output);

} // namespace lentilsaddle::bench
