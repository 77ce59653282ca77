/// @file
/// Processor time of a placement decision and memory of its state by size of the data centre.
#pragma once

#include "coordination/decisions/QueuedJob.h"
#include "state/PlacementState.h"

#include <ostream>
#include <vector>

namespace lentilsaddle::bench {

/// Nearly full data centre with an urgent job that must reclaim its account's guarantee.
struct ScaleCase {
    state::PlacementState placement;
    std::vector<coordination::QueuedJob> queue;
};

/// @param workers number of workers; two of three have 2 accelerators and the others 1, in racks of 8.
/// @param waitingBorrowers number of borrowers queued behind the urgent job.
ScaleCase makeScaleCase(int workers, int waitingBorrowers);

/// Writes processor time of a decision and memory of the state for 48, 480 and 3,900 workers.
void runScaleBench(std::ostream& output);

} // namespace lentilsaddle::bench
