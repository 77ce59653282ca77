/// @file
/// Check of claimed tasks against the capacity of their workers before they are started.
#pragma once

#include "state/Identifier.h"
#include "state/batch/Resources.h"

#include <map>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// A claimed task whose start is due. Its worker may have changed since the claim was planned.
struct DueStart {
    state::WorkerId worker;
    state::batch::Resources resources;
    /// The run was preempted while its claim was being stored.
    bool withdrawn = false;
};

/// What a worker offers to the tasks that are claimed for it.
struct StartCapacity {
    /// The worker is listed, responds and is not draining.
    bool available = false;
    /// Nothing may start in the data centre of the worker.
    bool evacuated = false;
    /// Capacity without that of all allocations, the due starts among them; negative amounts are a shortage.
    state::batch::Resources free;
};

/// Whether a claimed task is started, or why not.
enum class StartDecision {
    Start,
    WorkerUnavailable,
    DataCentreEvacuated,
    /// The capacity of the worker may have changed unseen.
    StaleDirectory,
    /// The data centre of the worker may have been evacuated unseen.
    StaleEvacuations,
    /// The start would bring the worker over its capacity.
    InsufficientCapacity,
    /// The run was preempted before its start.
    Withdrawn,
    /// Another member of the gang cannot start.
    GangIncomplete,
};

/// Decides which claimed tasks are started.
/// @param starts tasks of one step.
/// @param workers the workers of the tasks.
/// @param gang whether the tasks start together or not at all.
/// @return one decision for each task, in their order.
std::vector<StartDecision> decideStarts(
    const std::vector<DueStart>& starts, std::map<state::WorkerId, StartCapacity> workers, bool gang);

/// @return the decision as a log value.
const char* startDecisionName(StartDecision decision);

} // namespace lentilsaddle::coordination::batch
