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
    /// The worker had listed the run as running before.
    bool listed = false;
};

/// What a crash says about a run that the worker had.
enum class CrashEvidence {
    /// A run of another job may have caused the crash.
    None,
    /// No other job had a run on the worker; this one had survived its start.
    OnlyJob,
    /// No other job had a run on the worker that had not survived its start.
    OnlyStartingJob,
};

/// Attributes the crash of a worker to one job if no other one is likely to have caused it. Runs of one job are not
/// told apart, because the job fails as a whole.
/// @param runs all runs that the worker had.
/// @return the evidence against each run.
std::vector<CrashEvidence> attributeCrash(const std::vector<CrashedRun>& runs);

/// Adds a crash to the state of a task, and gives the task up if it crashes the workers that start it.
void recordCrash(state::batch::BatchTaskState& taskState, CrashEvidence evidence);

/// @return whether the next start of the task needs to show whether it is the cause of the crashes.
bool mayCrashWorkers(const state::batch::BatchTaskState& taskState);

} // namespace lentilsaddle::coordination::batch
