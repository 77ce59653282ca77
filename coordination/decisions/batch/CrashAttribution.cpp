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

} // namespace

std::vector<bool> attributeCrash(const std::vector<CrashedRun>& runs)
{
    auto starting = [](const CrashedRun& run) { return !run.listed; };
    auto first = std::find_if(runs.begin(), runs.end(), starting);
    bool oneJob = std::all_of(
        first, runs.end(), [&](const CrashedRun& run) { return !starting(run) || run.job == first->job; });
    std::vector<bool> attributed;
    attributed.reserve(runs.size());
    for (const CrashedRun& run : runs)
        attributed.push_back(oneJob && starting(run));
    return attributed;
}

void recordCrash(state::batch::BatchTaskState& taskState, bool attributed)
{
    ++taskState.workerCrashes;
    if (attributed)
        ++taskState.attributedCrashes;
    bool lastAttributed = attributed && taskState.workerCrashes >= attributedLastCrashLimit;
    if (lastAttributed || taskState.attributedCrashes >= attributedCrashLimit || taskState.workerCrashes >= crashLimit)
        taskState.givenUp = true;
}

bool mayCrashWorkers(const state::batch::BatchTaskState& taskState)
{
    return taskState.workerCrashes >= crashesOfASuspect;
}

} // namespace lentilsaddle::coordination::batch
