/// @file
/// Step of a batch job.
#pragma once

#include "state/batch/Resources.h"

#include <chrono>
#include <string>
#include <vector>

namespace lentilsaddle::state::batch {

/// Tasks of equal size that become ready together.
struct BatchStep {
    int taskCount = 1;
    /// Resources that one task needs.
    Resources resources;
    /// The caller's rough estimate of one task's run time.
    std::chrono::milliseconds runTimeEstimate { 0 };
    /// Indexes of the earlier steps whose tasks must all be done before this step starts.
    std::vector<int> predecessors;
    /// The tasks write checkpoints and can resume from them.
    bool writesCheckpoints = false;
    /// The tasks make progress only while all of them run.
    bool gang = false;
    /// The gang runs slower by a factor if it spans more than one rack.
    bool sameRack = false;
    /// Label that a worker must have; empty if every worker is eligible.
    std::string requiredLabel;
    /// Rack that holds the data; on any other rack the tasks are slower by a factor. Empty if there is none.
    std::string preferredRack;
    /// Limit of tasks of one occurrence of the step on one worker; 0 if there is none.
    int maximumPerWorker = 0;
    /// Copies of a task may run in parallel.
    bool speculative = false;

    bool operator==(const BatchStep&) const = default;
};

} // namespace lentilsaddle::state::batch
