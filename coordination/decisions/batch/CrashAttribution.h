/// @file
/// Attribution of crashes of workers to the tasks that cause them.
#pragma once

#include "state/Identifier.h"
#include "state/batch/BatchTaskState.h"

#include <vector>

namespace lentilsaddle::coordination::batch {

/// A run that a worker had when it crashed.
struct CrashedRun {
    state::JobId job;
    /// The worker had listed the run as running before, so it has survived its start.
    bool listed = false;
};

/// Attributes the crash of a worker to the runs that were starting, if they are all of one job. Runs of one job are not
/// told apart, because the job fails as a whole. A run that has survived its start is more likely a victim.
/// @param runs all runs that the worker had.
/// @return for each run, whether the crash is attributed to it.
std::vector<bool> attributeCrash(const std::vector<CrashedRun>& runs);

/// Adds a crash to the state of a task, and gives the task up if it crashes the workers that start it.
/// @param attributed whether the crash is attributed to the task's run.
void recordCrash(state::batch::BatchTaskState& taskState, bool attributed);

/// @return whether the next start of the task needs to show whether it is the cause of the crashes.
bool mayCrashWorkers(const state::batch::BatchTaskState& taskState);

} // namespace lentilsaddle::coordination::batch
