/// @file
/// Error of learned worker speeds by number of runs.
#pragma once

#include <cstdint>
#include <ostream>

namespace lentilsaddle::bench {

struct WorkerSpeedBenchOptions {
    std::uint32_t firstSeed = 1;
    int seeds = 5;
};

/// Draws steps of sibling tasks on 350 workers of three speeds and of one speed, whose jobs' estimates are wrong by a
/// factor. Writes, by runs a worker: error of the speeds, and the share of slow workers that are known as such, with
/// the comparison of siblings and with the comparison of run times and estimates.
void runWorkerSpeedBench(const WorkerSpeedBenchOptions& options, std::ostream& output);

} // namespace lentilsaddle::bench
