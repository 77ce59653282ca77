/// @file
/// Record of a log stream, independent of its encoding.
#pragma once

#include "state/Configuration.h"
#include "state/FencingToken.h"
#include "state/JobSpecification.h"
#include "state/KeyDigest.h"
#include "state/Origin.h"
#include "state/RequestOutcome.h"
#include "state/TaskPlacement.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::state {

using LogOffset = std::uint64_t;

/// One record with its origin. A record may occur in a stream more than once, because an append whose response was lost
/// is retried; a repeated record has no effect on any state machine.
struct Record {
    struct ConfigurationPatch {
        PatchId id;
        ConfigurationVersion base = 0;
        /// JSON Merge Patch, RFC 7396.
        std::string mergePatch;
    };
    struct PatchOutcome {
        PatchId id;
        bool accepted = false;
        /// Version that the patch produced, or the version that was current when it was rejected.
        ConfigurationVersion version = 0;
        std::string reason;
    };
    struct ConfigurationSnapshot {
        ConfigurationVersion version = 0;
        std::string document;
        std::vector<PatchOutcome> outcomes;
        /// The snapshot replaces all records below this offset.
        LogOffset nextOffset = 0;
    };
    struct JobSubmitted {
        JobSpecification specification;
    };
    struct SchedulerClaim {
        std::uint64_t epoch = 0;
        /// The scheduler has stepped down: the epoch has no scheduler, and any instance may claim the next one at once.
        bool vacant = false;
    };
    struct StartClaim {
        JobId job;
        int attempt = 0;
        FencingToken token;
        std::vector<TaskPlacement> placements;
        /// The attempt runs within its account's guarantee, so it is not preempted. Stored for schedulers of later
        /// epochs.
        bool withinGuarantee = false;

        bool operator==(const StartClaim&) const = default;
    };
    struct AttemptEnded {
        JobId job;
        int attempt = 0;
        /// succeeded, failed, preempted, released or unknown.
        std::string outcome;
        std::string reason;
        /// Workers that the next attempt should avoid.
        std::vector<WorkerId> failedWorkers;
    };
    struct JobEnded {
        JobId job;
        /// done, failed, cancelled, refused or unknown.
        std::string outcome;
        std::string reason;
    };
    struct JobCancelled {
        JobId job;
    };
    struct JobSnapshotEntry {
        JobSpecification specification;
        int attempts = 0;
        int failures = 0;
        std::optional<StartClaim> claim;
        std::string state;
        std::string reason;
        /// Outcome of the last ended attempt; empty before the first.
        std::string lastOutcome;
        bool cancelRequested = false;
        std::vector<WorkerId> failedWorkers;

        bool operator==(const JobSnapshotEntry&) const = default;
    };
    struct JobSnapshot {
        std::uint64_t epoch = 0;
        InstanceId scheduler;
        std::uint64_t schedulerIncarnation = 0;
        std::vector<JobSnapshotEntry> jobs;
        LogOffset nextOffset = 0;

        bool operator==(const JobSnapshot&) const = default;
    };
    struct RequestClaim {
        KeyDigest key;
        RequestId request;
    };
    struct RequestEnded {
        KeyDigest key;
        RequestOutcome outcome = RequestOutcome::Unknown;
        /// HTTP status of the backend server's response if the outcome is Done.
        int status = 0;
        /// Sequence number of the claim that ended; its instance and incarnation are those of this record's origin.
        /// Without it, a late duplicate of an earlier outcome could release a claim that is in use.
        std::uint64_t claimSequence = 0;
    };
    struct RequestSnapshotEntry {
        KeyDigest key;
        Origin issuer;
        std::optional<RequestEnded> ended;
        std::chrono::seconds age { 0 };
    };
    struct RequestSnapshot {
        std::vector<RequestSnapshotEntry> entries;
        LogOffset nextOffset = 0;
        /// Number of this part, from 0. A large snapshot is split to fit the log service's record size limit.
        std::uint32_t part = 0;
        std::uint32_t parts = 1;
    };

    using Body = std::variant<ConfigurationPatch, ConfigurationSnapshot, JobSubmitted, SchedulerClaim, StartClaim,
        AttemptEnded, JobEnded, JobCancelled, JobSnapshot, RequestClaim, RequestEnded, RequestSnapshot>;

    Origin origin;
    Body body;
};

} // namespace lentilsaddle::state
