/// @file
/// One seeded run of the soak test.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    /// How long faults are injected.
    std::chrono::milliseconds duration { 15'000 };
    int clients = 2;
    int daemons = 3;
    int workers = 6;
    /// Folder for the logs of the processes.
    std::string folder;
    /// Program of the daemons; empty for the one of this build.
    std::string daemonProgram;
};

struct SoakResult {
    /// Violated guarantees; empty if the run passed.
    std::vector<std::string> violations;
    /// Injected faults with their times.
    std::vector<std::string> faults;
    /// Submitted jobs.
    std::size_t jobs = 0;
    /// Jobs whose submission was accepted.
    std::size_t accepted = 0;
};

/// Starts the processes, injects faults, clears them, waits until all accepted jobs have ended, and checks the
/// guarantees.
SoakResult runSoak(const SoakOptions& options);

} // namespace lentilsaddle::soak
