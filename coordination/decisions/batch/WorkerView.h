/// @file
/// The planner's view of a worker.
#pragma once

#include "state/Time.h"
#include "state/batch/BatchWorker.h"
#include "state/batch/Resources.h"

#include <cstdint>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Description, free capacity, runs and speed of a worker.
struct WorkerView {
    /// Run that holds capacity of the worker.
    struct Run {
        /// Index of the run's group in the input.
        std::size_t group = 0;
        state::batch::Resources resources;
        /// The run is being stopped, so its capacity becomes free soon.
        bool stopping = false;
        state::MonotonicTime expectedEnd {};
        /// The run has outlasted its estimate.
        bool overdue = false;
        /// The run started on capacity that was reserved for another unit.
        bool backfilled = false;
    };

    state::batch::BatchWorker worker;
    state::batch::Resources free;
    /// Free capacity, including that of runs that are being stopped.
    state::batch::Resources freeAfterStops;
    std::vector<Run> runs;
    /// A run has been placed that the worker has not listed yet.
    bool startPending = false;
    /// One of these runs may crash the worker, so no other run may start until it is listed.
    bool isolatedStartPending = false;
    /// Run time of tasks relative to the usual worker, as learned; 1 if it is not known to differ.
    double relativeRunTime = 1;
    /// Run time of a straggler on the worker relative to its queue's usual one; 1 if there is none.
    double slowness = 1;
    /// The worker has started a short time ago and is slow until it is warm.
    bool cold = false;
};

} // namespace lentilsaddle::coordination::batch
