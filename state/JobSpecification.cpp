#include "state/JobSpecification.h"

#include "state/RangeCheck.h"
#include "state/StateError.h"

#include <string>

namespace lentilsaddle::state {

namespace {

    constexpr std::chrono::hours maximumRunTime { 24 * 30 };
    constexpr std::size_t maximumPayloadBytes = 4096;

} // namespace

void validate(const JobSpecification& specification)
{
    const GangShape& shape = specification.shape;
    if (specification.account.empty())
        throw StateError("account", "must not be empty");
    requireRange("tasks", shape.tasks, 1, maximumGangTasks);
    requireRange("accelerators_per_task", shape.acceleratorsPerTask, 1, maximumAcceleratorsPerTask);
    if (shape.adjacency == Adjacency::Worker && shape.accelerators() > maximumAcceleratorsPerTask)
        throw StateError("tasks",
            "a gang adjacent in one worker needs at most " + std::to_string(maximumAcceleratorsPerTask)
                + " accelerators");
    if (specification.payload.size() > maximumPayloadBytes)
        throw StateError("payload", "must have at most " + std::to_string(maximumPayloadBytes) + " bytes");
    if (specification.declaredRunTime.count() < 1 || specification.declaredRunTime > maximumRunTime)
        throw StateError(
            "declared_runtime_s", "must be 1 to " + std::to_string(std::chrono::seconds(maximumRunTime).count()));
}

} // namespace lentilsaddle::state
