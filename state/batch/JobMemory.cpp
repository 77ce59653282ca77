#include "state/batch/JobMemory.h"

#include "state/batch/BatchJob.h"
#include "state/batch/BatchJobEntry.h"

#include <algorithm>
#include <cstdint>

namespace lentilsaddle::state::batch {

namespace {

    // Entry of the table, its indexes, and the copies of the identifiers.
    constexpr std::size_t jobBytes = 1'024;
    // A step that is ready in one occurrence: its records, and its unit in a planning round.
    constexpr std::size_t offeredStepBytes = 672;
    // Run number of a task, and its index in the input of a planning round and in the planner.
    constexpr std::size_t taskBytes = sizeof(std::int32_t) + 2 * sizeof(int);
    constexpr std::size_t bitsPerByte = 8;

} // namespace

std::size_t jobMemoryBytes(const BatchJob& job)
{
    std::size_t bytes = jobBytes + sizeof(BatchJob) + job.payload.size();
    std::size_t tasks = 0;
    for (const BatchStep& step : job.steps) {
        bytes += sizeof(BatchStep) + step.requiredLabel.size() + step.preferredRack.size()
            + step.predecessors.size() * sizeof(int);
        tasks += static_cast<std::size_t>(step.taskCount);
    }
    auto occurrences = static_cast<std::size_t>(job.occurrences);
    bytes += std::min<std::size_t>(occurrences * job.steps.size(), maximumOfferedSteps) * offeredStepBytes;
    // Occurrences beyond the open ones are a mark each.
    std::size_t openTasks = std::max<std::size_t>(tasks, maximumOpenTasks);
    return bytes + std::min(occurrences * tasks, openTasks) * taskBytes + occurrences / bitsPerByte;
}

} // namespace lentilsaddle::state::batch
