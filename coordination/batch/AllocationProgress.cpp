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
    if (allocation.entry)
        progress.writesCheckpoints
            = allocation.entry->job().steps[static_cast<std::size_t>(allocation.task.step)].writesCheckpoints;
    return progress;
}

} // namespace lentilsaddle::coordination::batch
