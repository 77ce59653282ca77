/// @file
/// Ready tasks that the planner places together.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"
#include "state/batch/Resources.h"

#include <chrono>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Ready tasks of one step in one occurrence of a job. A gang is placed as a whole or not at all; other tasks one by
/// one.
struct BatchUnit {
    state::JobId job;
    state::AccountId account;
    int occurrence = 0;
    int step = 0;
    /// Indices of the tasks to place.
    std::vector<int> indices;
    state::batch::Resources resources;
    bool gang = false;
    bool sameRack = false;
    /// The tasks may crash their workers, so no other run may be starting where they start.
    bool isolatedStart = false;
    /// The unit has waited long for such a worker and may start beside other starting runs, as a last resort.
    bool isolationWaitOver = false;
    std::string requiredLabel;
    std::string preferredRack;
    /// 0 if there is no limit.
    int maximumPerWorker = 0;
    /// Tasks of the step that each worker already runs.
    std::map<state::WorkerId, int> runningOnWorker;
    /// Workers where a run of the step has failed; used only if no other worker fits.
    std::set<state::WorkerId> avoidedWorkers;
    /// Workers on which tasks run longer than this, relative to the usual worker, are not eligible now.
    double maximumRelativeRunTime = std::numeric_limits<double>::infinity();
    /// The unit completes in time on slow workers too and leaves fast ones to units that do not.
    bool sparesFastWorkers = false;
    state::ServiceId service;
    int priority = 0;
    /// Whether the account's accelerator guarantee covers the unit.
    bool guaranteed = false;
    /// Latest completion that meets the queue's runtime objective.
    state::MonotonicTime deadline {};
    /// A completion after this has no value.
    state::MonotonicTime hardDeadline {};
    /// When the tasks became ready.
    state::MonotonicTime readySince {};
    /// Time from the start of the step to the end of the job, along the longest chain of steps.
    std::chrono::milliseconds estimate { 0 };
    /// Estimated run time of the step's tasks alone; 0 if unknown.
    std::chrono::milliseconds runTime { 0 };
    /// Since when only runs on lent capacity have kept the unit from starting; empty if they do not.
    std::optional<state::MonotonicTime> delayedSince;
    /// Value per core-second of the job's work, relative to other units.
    double valueDensity = 0;
};

} // namespace lentilsaddle::coordination::batch
