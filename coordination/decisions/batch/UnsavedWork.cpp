#include "coordination/decisions/batch/UnsavedWork.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

namespace {

    // Time in which a task resumes from a checkpoint. Workers do not announce it.
    constexpr std::chrono::milliseconds restoreTime { 600 };

    double seconds(state::MonotonicTime::duration duration)
    {
        return std::max(0.0, std::chrono::duration<double>(duration).count());
    }

} // namespace

double weightedCores(const state::batch::Resources& resources)
{
    return static_cast<double>(resources.milliCores) / 1'000
        + coresPerAccelerator * static_cast<double>(resources.accelerators);
}

double unsavedWork(const RunProgress& run, state::MonotonicTime now)
{
    state::MonotonicTime saved = run.writesCheckpoints ? std::max(run.since, run.lastCheckpoint) : run.since;
    return weightedCores(run.resources) * seconds(now - saved);
}

double workLostByStop(const RunProgress& run, state::MonotonicTime now)
{
    auto lost = now - run.since;
    if (run.writesCheckpoints)
        lost = std::min<state::MonotonicTime::duration>(lost, restoreTime);
    return weightedCores(run.resources) * seconds(lost);
}

} // namespace lentilsaddle::coordination::batch
