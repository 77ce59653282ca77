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

    state::MonotonicTime::duration runTime(const RunProgress& run, state::MonotonicTime now)
    {
        return std::max<state::MonotonicTime::duration>(now - run.since, run.earlierRunTime);
    }

} // namespace

double weightedCores(const state::batch::Resources& resources)
{
    return static_cast<double>(resources.milliCores) / 1'000
        + coresPerAccelerator * static_cast<double>(resources.accelerators);
}

double unsavedWork(const RunProgress& run, state::MonotonicTime now)
{
    auto unsaved = runTime(run, now);
    if (run.writesCheckpoints && run.lastCheckpoint >= run.since)
        unsaved = now - run.lastCheckpoint;
    return weightedCores(run.resources) * seconds(unsaved);
}

double workLostByStop(const RunProgress& run, state::MonotonicTime now)
{
    auto lost = runTime(run, now);
    if (run.writesCheckpoints)
        lost = std::min<state::MonotonicTime::duration>(lost, restoreTime);
    return weightedCores(run.resources) * seconds(lost);
}

} // namespace lentilsaddle::coordination::batch
