/// @file
/// Stored state of a task of a batch job.
#pragma once

#include "state/Identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::state::batch {

/// State of a task according to its newest journal record.
struct BatchTaskState {
    enum class Phase {
        Queued,
        /// A worker was chosen; the task may be starting, running or stopping there.
        Claimed,
        Done,
    };

    Phase phase = Phase::Queued;
    /// Number of the last claimed run; 0 if there was none. All members of a gang have the same number.
    std::int64_t run = 0;
    /// Worker, with its incarnation, that the task is claimed for; valid if the phase is Claimed.
    WorkerId worker;
    std::int64_t workerIncarnation = 0;
    /// Address of that worker; stored only if workers have crashed under the task, else empty.
    std::string workerAddress;
    /// Newest known checkpoint; empty if there is none.
    std::string checkpoint;
    /// Number of runs that ended as failed.
    int failures = 0;
    /// Numbers of the runs that ended as failed, ascending. Records of earlier versions name only the last one.
    std::vector<std::int64_t> failedRuns;
    /// Number of workers that crashed while they had a run of the task, or may have had one.
    int workerCrashes = 0;
    /// Number of these crashes under a start without a response, before which the worker may have been down.
    int doubtfulCrashes = 0;
    /// Number of these crashes that are attributed to the task's job.
    int attributedCrashes = 0;
    /// The task is not started again, because it crashes workers; its job has failed.
    bool givenUp = false;

    /// Counts a run that ended as failed, once.
    /// @return whether it had not been counted before.
    bool addFailedRun(std::int64_t failedRun);

    bool operator==(const BatchTaskState&) const = default;
};

} // namespace lentilsaddle::state::batch
