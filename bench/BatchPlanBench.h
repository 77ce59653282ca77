/// @file
/// Processor time of a planning round of batch jobs by number of workers.
#pragma once

#include "coordination/decisions/batch/BatchPlanner.h"

#include <chrono>
#include <ostream>

namespace lentilsaddle::bench {

/// Creates nearly full workers with eight accelerators each, and waiting jobs of all priorities: gangs that need
/// preemption, large tasks, and wide steps of small tasks.
/// @param workers number of workers, in racks of 8.
coordination::batch::PlanInput makeBatchPlanCase(int workers);

/// @param rounds number of planning rounds, each on a fresh copy of the input.
/// @return mean processor time of one round.
std::chrono::microseconds measureBatchPlan(const coordination::batch::PlanInput& input, int rounds);

/// Writes the processor time of a round for 48, 350, 490 and 3,900 workers.
void runBatchPlanBench(std::ostream& output);

} // namespace lentilsaddle::bench
