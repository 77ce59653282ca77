/// @file
/// Work that is lost when a run ends early.
#pragma once

#include "state/Time.h"
#include "state/batch/Resources.h"

#include <chrono>

namespace lentilsaddle::coordination::batch {

/// Cores that an accelerator counts as when work is weighed.
constexpr double coresPerAccelerator = 8;

/// @return cores of the resources, with accelerators counted as cores.
double weightedCores(const state::batch::Resources& resources);

/// Progress of a run, as far as it determines what an early end loses.
struct RunProgress {
    state::batch::Resources resources;
    state::MonotonicTime since {};
    /// The task writes checkpoints and can resume from them.
    bool writesCheckpoints = false;
    /// When the newest checkpoint became known; earlier than `since` if there was none.
    state::MonotonicTime lastCheckpoint {};
    /// Least run time so far, if the run began before `since`.
    std::chrono::milliseconds earlierRunTime { 0 };
};

/// @return core-seconds done since the last checkpoint, or since the start for a task that writes none.
double unsavedWork(const RunProgress& run, state::MonotonicTime now);

/// A task that writes checkpoints writes one more when it is stopped, so that only its restore is lost.
/// @return core-seconds lost if the run is stopped.
double workLostByStop(const RunProgress& run, state::MonotonicTime now);

} // namespace lentilsaddle::coordination::batch
