#include "coordination/decisions/batch/CrashAttribution.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

namespace {

    // One crash is more often the fault of the worker.
    constexpr int crashesOfASuspect = 2;
    // Attributed crashes that give a task up.
    constexpr int attributedCrashLimit = 2;
    // Crashes of which only the last one needs to be attributed.
    constexpr int attributedLastCrashLimit = 3;
    // Crashes that give a task up without attribution. The rule allows two starts after the third crash.
    constexpr int crashLimit = 5;
    // The same for a task with as many attributed crashes as give a task up, although these may have had another cause.
    // Leaves room for a crash that nobody has seen.
    constexpr int crashLimitOfASuspect = 4;
    // Crashes that must be certain for that. Fewer may all have been restarts while a start was on its way.
    constexpr int certainCrashLimit = 2;
    // Doubtful crashes that give a task up all the same, so that it does not crash workers without end.
    constexpr int doubtfulCrashLimit = 12;

    int certainCrashes(const state::batch::BatchTaskState& taskState)
    {
        return taskState.workerCrashes - taskState.doubtfulCrashes;
    }

    bool reachesLimit(const state::batch::BatchTaskState& taskState)
    {
        if (taskState.doubtfulCrashes >= doubtfulCrashLimit)
            return true;
        int limit = taskState.attributedCrashes >= attributedCrashLimit ? crashLimitOfASuspect : crashLimit;
        return taskState.workerCrashes >= limit && certainCrashes(taskState) >= certainCrashLimit;
    }

} // namespace

std::vector<bool> attributeCrash(const std::vector<CrashedRun>& runs)
{
    // Runs that may have been starting when the worker crashed.
    auto suspected = [](const CrashedRun& run) { return run.stage != CrashedRun::Stage::Listed; };
    auto first = std::find_if(runs.begin(), runs.end(), suspected);
    bool oneJob = std::all_of(
        first, runs.end(), [&](const CrashedRun& run) { return !suspected(run) || run.job == first->job; });
    std::vector<bool> attributed;
    attributed.reserve(runs.size());
    for (const CrashedRun& run : runs)
        attributed.push_back(oneJob && run.stage == CrashedRun::Stage::Starting);
    return attributed;
}

void recordCrash(state::batch::BatchTaskState& taskState, CrashedRun::Stage stage)
{
    ++taskState.workerCrashes;
    if (stage == CrashedRun::Stage::Unconfirmed)
        ++taskState.doubtfulCrashes;
    taskState.givenUp = taskState.givenUp || reachesLimit(taskState);
}

bool recordAttribution(state::batch::BatchTaskState& taskState)
{
    ++taskState.attributedCrashes;
    taskState.givenUp = taskState.givenUp || reachesLimit(taskState);
    bool lastDecides
        = taskState.workerCrashes >= attributedLastCrashLimit && certainCrashes(taskState) >= certainCrashLimit;
    return taskState.attributedCrashes >= attributedCrashLimit || lastDecides;
}

bool mayCrashWorkers(const state::batch::BatchTaskState& taskState)
{
    return taskState.attributedCrashes > 0 || taskState.workerCrashes >= crashesOfASuspect;
}

} // namespace lentilsaddle::coordination::batch
