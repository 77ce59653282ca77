#include "coordination/decisions/batch/CrashAttribution.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

namespace {

    // One crash is more often the fault of the worker.
    constexpr int crashesOfASuspect = 2;
    // Crashes at the start of no other job's run that give a task up.
    constexpr int attributedCrashLimit = 2;
    // Crashes of which only the last one needs to be attributed.
    constexpr int attributedLastCrashLimit = 3;
    // Crashes that give a task up without attribution. The rule allows two starts after the third crash.
    constexpr int crashLimit = 5;

    // Whether all runs that the predicate selects are of one job; false if there is none.
    template <typename Predicate> bool oneJobOnly(const std::vector<CrashedRun>& runs, Predicate selected)
    {
        auto first = std::find_if(runs.begin(), runs.end(), selected);
        return first != runs.end() && std::all_of(first, runs.end(), [&](const CrashedRun& run) {
            return !selected(run) || run.job == first->job;
        });
    }

} // namespace

std::vector<CrashEvidence> attributeCrash(const std::vector<CrashedRun>& runs)
{
    auto starting = [](const CrashedRun& run) { return !run.listed; };
    bool oneStartingJob = oneJobOnly(runs, starting);
    bool anyStarting = std::any_of(runs.begin(), runs.end(), starting);
    bool oneJob = oneJobOnly(runs, [](const CrashedRun&) { return true; });
    std::vector<CrashEvidence> result;
    result.reserve(runs.size());
    for (const CrashedRun& run : runs) {
        CrashEvidence evidence = CrashEvidence::None;
        if (starting(run) && oneStartingJob)
            evidence = CrashEvidence::OnlyStartingJob;
        else if (!anyStarting && oneJob)
            evidence = CrashEvidence::OnlyJob;
        result.push_back(evidence);
    }
    return result;
}

void recordCrash(state::batch::BatchTaskState& taskState, CrashEvidence evidence)
{
    ++taskState.workerCrashes;
    if (evidence == CrashEvidence::OnlyStartingJob)
        ++taskState.attributedCrashes;
    bool lastAttributed = taskState.workerCrashes >= attributedLastCrashLimit && evidence != CrashEvidence::None;
    if (taskState.attributedCrashes >= attributedCrashLimit || lastAttributed || taskState.workerCrashes >= crashLimit)
        taskState.givenUp = true;
}

bool mayCrashWorkers(const state::batch::BatchTaskState& taskState)
{
    return taskState.workerCrashes >= crashesOfASuspect;
}

} // namespace lentilsaddle::coordination::batch
