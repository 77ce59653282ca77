/// @file
/// Attribution of crashes of workers to the tasks that cause them.
#pragma once

#include "state/Identifier.h"
#include "state/batch/BatchTaskState.h"

#include <vector>

namespace lentilsaddle::coordination::batch {

/// A run that a worker had, or may have had, when it crashed.
struct CrashedRun {
    enum class Stage {
        /// The start had no response, so the worker may have been down before it arrived.
        Unconfirmed,
        /// Claimed by an earlier leader; whether it had survived its start is unknown.
        Inherited,
        /// The start was confirmed.
        Starting,
        /// The worker had listed the run as running, so it has survived its start.
        Listed,
    };

    state::JobId job;
    Stage stage = Stage::Unconfirmed;
};

/// Attributes the crash of a worker to the runs that were starting, if they are all of one job. Runs of one job are not
/// told apart, because the job fails as a whole. A run that has survived its start is more likely a victim, and one
/// whose start is uncertain may not have been there.
/// @param runs all runs that the worker had or may have had.
/// @return for each run, whether the crash is attributed to it.
std::vector<bool> attributeCrash(const std::vector<CrashedRun>& runs);

/// Adds a crash to the state of a task, and gives the task up if it has had as many as any task may have.
void recordCrash(state::batch::BatchTaskState& taskState, CrashedRun::Stage stage);

/// Attributes the last recorded crash to the task, and gives it up if it has had as many as a suspect may have.
/// @return whether the task crashes the workers that start it, so that it is to be given up unless the crash has
/// another cause.
bool recordAttribution(state::batch::BatchTaskState& taskState);

/// @return whether the next start of the task needs to show whether it is the cause of the crashes.
bool mayCrashWorkers(const state::batch::BatchTaskState& taskState);

} // namespace lentilsaddle::coordination::batch
