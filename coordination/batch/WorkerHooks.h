/// @file
/// Orders to workers of the batch part.
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

/// Time on a worker's own steady clock, which starts anew with each lifetime.
using WorkerTime = std::chrono::milliseconds;

struct StartRequest {
    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    /// End of the lease of everything on the worker.
    WorkerTime leaseEnd { 0 };
    std::uint64_t term = 0;
};

struct StopRequest {
    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    std::uint64_t term = 0;
};

/// Renews the lease, acknowledges ends and asks for the worker's lists.
struct ObserveRequest {
    std::uint64_t term = 0;
    std::int64_t acknowledgedEnd = 0;
    /// Nothing leaves the lease as it is.
    std::optional<WorkerTime> leaseEnd;
    /// How long the worker may wait for an end before it answers.
    std::chrono::milliseconds wait { 0 };
};

struct WorkerCallResult {
    enum class Status {
        Done,
        /// The worker has seen a later term.
        Fenced,
        /// A run with this or a higher number has been stopped or has ended there.
        StaleRun,
        /// The lease end has passed on the worker's clock; nothing was started.
        LeaseExpired,
        /// The worker lacks room; nothing was started.
        InsufficientCapacity,
        /// The worker refused the order as malformed.
        Invalid,
        /// The worker did nothing, or no byte was sent.
        NotDelivered,
        /// Another lifetime answers at the address.
        OtherIncarnation,
        /// No answer; the order may be carried out now or later.
        Unknown,
    };
    Status status = Status::Unknown;
    std::optional<WorkerTime> clock;
    /// Lifetime that answered; 0 if the answer does not tell.
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
        /// The other members of the gang did not come in time.
        GangIncomplete,
    };
    /// Rises within a lifetime, from 1.
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
    /// The highest number among the ends, also those that cannot be decoded.
    std::int64_t lastEnd = 0;
};

/// Calls of one process to workers. Callbacks run later on the calling task's thread.
struct WorkerHooks {
    std::function<void(const state::batch::BatchWorker& worker, const StartRequest& request,
        std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply)>
        start;
    std::function<void(const state::batch::BatchWorker& worker, const StopRequest& request,
        std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply)>
        stop;
    /// @param timeout limit of the call beyond the wait.
    std::function<void(const state::batch::BatchWorker& worker, const ObserveRequest& request,
        std::chrono::milliseconds timeout, std::function<void(Observation)> reply)>
        observe;
};

} // namespace lentilsaddle::coordination::batch
