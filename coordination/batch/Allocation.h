/// @file
/// Capacity of a worker that is held by a run.
#pragma once

#include "state/Time.h"
#include "state/batch/BatchTaskId.h"
#include "state/batch/Resources.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentilsaddle::state::batch {
class BatchJobEntry;
}

namespace lentilsaddle::coordination::batch {

/// @return whether two incarnations of a worker are both known and differ. A later one may have the lower number, if
/// the worker's time of day was set back.
constexpr bool incarnationsDiffer(std::int64_t first, std::int64_t second)
{
    return first != 0 && second != 0 && first != second;
}

/// A run of a task on a worker. It holds capacity from its claim until its end is certain.
struct Allocation {
    enum class Phase {
        /// The claim is being stored; no start was sent.
        Claiming,
        /// The start was sent and has no response yet.
        Starting,
        /// The worker may execute the start at any time, until it acknowledges a stop or fences the term.
        Uncertain,
        Running,
        Stopping,
        /// The stop was acknowledged; the end of the run is not listed yet.
        StopAcknowledged,
    };

    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    /// Entry of the job, which contains the task; null if it was unknown when the allocation was added.
    const state::batch::BatchJobEntry* entry = nullptr;
    state::batch::Resources resources;
    Phase phase = Phase::Claiming;
    /// Incarnation of the worker that was known when the start was sent, or that a claim of an earlier leader names,
    /// and then the one that listed the run; 0 if unknown.
    std::int64_t incarnation = 0;
    /// The incarnation has listed the run. Until then a later one may have executed the start, because responses to
    /// start requests name no incarnation.
    bool listed = false;
    /// Claimed by an earlier leader; the first observation in this term shows whether it runs.
    bool inherited = false;
    /// Claimed by an earlier leader, so that the run began before `since`.
    bool claimedEarlier = false;
    /// It is known whether the worker executed the start.
    bool startResolved = false;
    /// A start request has no response yet.
    bool startInFlight = false;
    /// A start request had no response, so definite responses to its retries do not show whether it runs.
    bool attemptTimedOut = false;
    std::string checkpoint;
    /// When the worker first listed the checkpoint; the epoch if it has listed none of this run.
    state::MonotonicTime lastCheckpoint {};
    /// When the start was sent, or before that, when the allocation was added.
    state::MonotonicTime since {};
    /// When the start was confirmed or the stop acknowledged. Only observations sent later show whether the run has
    /// ended.
    state::MonotonicTime confirmableFrom {};
    /// The run was preempted while its claim was being stored, so that it is not started.
    bool withdrawn = false;
    bool stopInFlight = false;
    /// Stop requests that the worker has not acknowledged.
    int failedStops = 0;
    /// The run started in this term and without a checkpoint, so its run time is a sample of the worker's speed.
    bool observedFromStart = false;
    /// The run uses capacity that was reserved for another job when it was claimed.
    bool backfilled = false;
    /// A worker has crashed under the task, so it is soon to be seen whether it survives its start.
    bool suspect = false;
    /// Share of the work that is done, 0 to 100.
    int percent = 0;
    /// The same when a rate was last computed from it, and when that was.
    int ratedPercent = 0;
    state::MonotonicTime ratedAt {};

    /// @return whether a start request may still be executed, by this incarnation of the worker or by a later one.
    bool startOutstanding() const { return startInFlight || attemptTimedOut; }
};

/// @return the phase as a log value.
constexpr const char* allocationPhaseName(Allocation::Phase phase)
{
    switch (phase) {
    case Allocation::Phase::Claiming:
        return "claiming";
    case Allocation::Phase::Starting:
        return "starting";
    case Allocation::Phase::Uncertain:
        return "uncertain";
    case Allocation::Phase::Running:
        return "running";
    case Allocation::Phase::Stopping:
        return "stopping";
    case Allocation::Phase::StopAcknowledged:
        return "stop_acknowledged";
    }
    return "unknown";
}

} // namespace lentilsaddle::coordination::batch
