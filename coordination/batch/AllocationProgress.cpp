#include "coordination/batch/AllocationProgress.h"

#include "coordination/batch/Allocation.h"
#include "state/batch/BatchJobEntry.h"

namespace lentilsaddle::coordination::batch {

RunProgress progressOf(const Allocation& allocation)
{
    RunProgress progress {
        .resources = allocation.resources,
        .since = allocation.since,
        .lastCheckpoint = allocation.lastCheckpoint,
    };
    if (!allocation.entry)
        return progress;
    const state::batch::BatchStep& step = allocation.entry->job().steps[static_cast<std::size_t>(allocation.task.step)];
    progress.writesCheckpoints = step.writesCheckpoints;
    // A run of an earlier leader began before this one knew it. Before its worker has listed it, half is assumed.
    if (allocation.claimedEarlier)
        progress.earlierRunTime = step.runTimeEstimate * (allocation.listed ? allocation.percent : 50) / 100;
    return progress;
}

RunTimeEvidence runTimeEvidence(const Allocation& allocation, state::MonotonicTime now)
{
    if (!allocation.entry)
        return {};
    RunProgress progress = progressOf(allocation);
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - progress.since);
    const state::batch::BatchStep& step = allocation.entry->job().steps[static_cast<std::size_t>(allocation.task.step)];
    return {
        .elapsed = elapsed + progress.earlierRunTime,
        .estimate = step.runTimeEstimate,
        // After a checkpoint, the progress includes that of earlier runs.
        .percent = allocation.observedFromStart ? allocation.percent : 0,
    };
}

} // namespace lentilsaddle::coordination::batch
