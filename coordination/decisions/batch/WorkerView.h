/// @file
/// A worker as the planner sees it.
#pragma once

#include "state/batch/BatchWorker.h"
#include "state/batch/Resources.h"

#include <cstdint>
#include <vector>

namespace lentilsaddle::coordination::batch {

struct WorkerView {
    /// Run that takes room.
    struct Run {
        /// Identifies the gang or task to the caller of the planner.
        std::size_t group = 0;
        state::batch::Resources need;
        /// The run is being stopped, so its room becomes free soon.
        bool stopping = false;
    };

    state::batch::BatchWorker worker;
    state::batch::Resources free;
    /// Free room, and the room of runs that are being stopped.
    state::batch::Resources freeAfterStops;
    std::vector<Run> runs;
    /// Share by which the worker is slower than others; 1 is normal.
    double slowness = 1;
};

} // namespace lentilsaddle::coordination::batch
