/// @file
/// Requests to the workers that run batch tasks.
#pragma once

#include "state/batch/BatchTaskId.h"
#include "state/batch/BatchWorker.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Time on a worker's steady clock, which restarts with each incarnation.
using WorkerTime = std::chrono::milliseconds;

struct StartRequest {
    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    /// End of the lease of all runs on the worker.
    WorkerTime leaseEnd { 0 };
    /// A worker refuses a request with a token below one that its incarnation has seen.
    std::uint64_t fencingToken = 0;
};

struct StopRequest {
    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    std::uint64_t fencingToken = 0;
};

/// Renews the lease, acknowledges ends and requests the lists of running and ended tasks.
struct ObserveRequest {
    std::uint64_t fencingToken = 0;
    std::int64_t acknowledgedEnd = 0;
    /// Empty leaves the lease unchanged.
    std::optional<WorkerTime> leaseEnd;
    /// How long the worker may wait for a run to end before it responds.
    std::chrono::milliseconds wait { 0 };
};

struct WorkerCallResult {
    enum class Status {
        Done,
        /// The worker has seen a higher fencing token; nothing was executed.
        Fenced,
        /// A run with this or a higher number has been stopped or has ended on the worker.
        StaleRun,
        /// The lease end has passed on the worker's clock; nothing was started.
        LeaseExpired,
        /// The worker lacks free capacity; nothing was started.
        InsufficientCapacity,
        /// The worker rejected the request as malformed.
        Invalid,
        /// The worker did not execute the request, or it was not sent.
        NotDelivered,
        /// Another incarnation responds at the address.
        OtherIncarnation,
        /// No response; the worker may have executed the request or may still do so.
        Unknown,
    };
    Status status = Status::Unknown;
    std::optional<WorkerTime> clock;
    /// Incarnation that responded; 0 if the response does not name it.
    std::int64_t incarnation = 0;
    std::string error;
};

struct RunningTask {
    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    /// Share of the work that is done, 0 to 100.
    int percent = 0;
};

struct EndedTask {
    enum class Reason {
        Done,
        Failed,
        Stopped,
        LeaseLapsed,
        /// Another member of the gang ended.
        GangBroken,
        /// Not all members of the gang started in time.
        GangIncomplete,
    };
    /// Sequence number within an incarnation, from 1.
    std::int64_t number = 0;
    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    Reason reason = Reason::Stopped;
    std::string checkpoint;
};

struct Observation {
    WorkerCallResult result;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    /// The highest number among the ends, including those that cannot be decoded.
    std::int64_t lastEnd = 0;
    /// Each run of the worker is in one of the lists, unless its end was acknowledged.
    bool complete = true;
};

/// Calls of one process to workers. Callbacks run later on the calling task's thread.
struct WorkerHooks {
    std::function<void(const state::batch::BatchWorker& worker, const StartRequest& request,
        std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply)>
        start;
    std::function<void(const state::batch::BatchWorker& worker, const StopRequest& request,
        std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply)>
        stop;
    /// @param timeout timeout of the call, beyond the wait.
    std::function<void(const state::batch::BatchWorker& worker, const ObserveRequest& request,
        std::chrono::milliseconds timeout, std::function<void(Observation)> reply)>
        observe;
};

} // namespace lentilsaddle::coordination::batch
