/// @file
/// What is placed together.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"
#include "state/batch/Resources.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Ready tasks of one step in one occurrence. A gang is placed whole or not at all; other tasks one by one.
struct BatchUnit {
    state::JobId job;
    state::AccountId account;
    int occurrence = 0;
    int step = 0;
    /// Tasks that are to be placed.
    std::vector<int> indices;
    state::batch::Resources need;
    bool gang = false;
    bool sameRack = false;
    std::string requiredLabel;
    std::string preferredRack;
    /// 0 if there is no limit.
    int maximumPerWorker = 0;
    /// Tasks of the step that each worker runs already.
    std::map<state::WorkerId, int> runningOnWorker;
    /// Workers where a run of the step has failed; used only if nothing else is left.
    std::set<state::WorkerId> avoidedWorkers;
    state::ServiceId service;
    int priority = 0;
    /// The account's guarantee covers the unit.
    bool guaranteed = false;
    /// Latest end that meets the objective.
    state::MonotonicTime deadline {};
    /// An end after this earns nothing.
    state::MonotonicTime hardDeadline {};
    /// Since when the tasks have been ready.
    state::MonotonicTime readySince {};
    std::chrono::milliseconds estimate { 0 };
    /// Worth per accelerator-second of the work left, relative to other units.
    double valueDensity = 0;
};

} // namespace lentilsaddle::coordination::batch
