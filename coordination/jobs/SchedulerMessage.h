/// @file
/// Mailbox message of SchedulerTask.
#pragma once

#include "coordination/log/LogMessage.h"
#include "state/Configuration.h"
#include "state/InstanceInfo.h"
#include "state/JobSpecification.h"
#include "state/StreamBatch.h"
#include "state/TaskPlacement.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::coordination {

struct SchedulerMessage {
    /// Answer to a submission or a cancellation.
    struct JobResponse {
        enum class Status {
            Accepted,
            /// Refused before it was accepted; it will not run.
            Refused,
            /// The same identifier was submitted with another body.
            Conflict,
            NotFound,
            /// The record may be in the log; ask again by the job's identifier.
            Unknown,
        };
        Status status = Status::Unknown;
        state::JobId id;
        /// Offending field if refused, else empty.
        std::string field;
        std::string reason;
    };

    /// What callers see of a job.
    struct JobView {
        state::JobSpecification specification;
        std::string state;
        std::string reason;
        int attempts = 0;
        std::vector<state::TaskPlacement> placements;
    };

    struct StatusView {
        state::InstanceId scheduler;
        std::uint64_t epoch = 0;
        bool isScheduler = false;
        std::size_t queued = 0;
        std::size_t running = 0;
        int accelerators = 0;
        int freeAccelerators = 0;
    };

    struct Submit {
        state::JobSpecification specification;
        std::function<void(JobResponse)> reply;
    };
    struct Query {
        state::JobId id;
        std::function<void(std::optional<JobView>)> reply;
    };
    struct Cancel {
        state::JobId id;
        std::function<void(JobResponse)> reply;
    };
    struct Status {
        std::function<void(StatusView)> reply;
    };
    struct Configure {
        std::shared_ptr<const state::Configuration> configuration;
        bool ready = false;
    };
    /// Live entry instances of the own data centre, this one included, and whether the scheduler answers heartbeats.
    struct Members {
        std::vector<state::InstanceInfo> members;
        bool schedulerSuspected = false;
    };
    struct LogBatch {
        state::StreamBatch batch;
    };
    struct LogReachability {
        bool reachable = false;
    };
    /// Gives up the scheduler role and calls back when no start is in flight.
    struct Drain {
        std::function<void()> onDrained;
    };

    /// Result of an append, posted by the task to itself.
    struct Appended {
        /// Identifies the record among the task's own appends.
        std::string key;
        LogMessage::AppendStatus status = LogMessage::AppendStatus::NotAppended;
    };

    using Body
        = std::variant<Submit, Query, Cancel, Status, Configure, Members, LogBatch, LogReachability, Drain, Appended>;
    Body body;
};

} // namespace lentilsaddle::coordination
