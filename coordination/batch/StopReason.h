/// @file
/// Reasons for which the leader stops a run.
#pragma once

#include "state/Identifier.h"

namespace lentilsaddle::coordination::batch {

enum class StopReason {
    /// The capacity is needed for a job that ranks higher.
    Preempted,
    /// The run used capacity that was reserved for the job, which can start now.
    BackfillEnded,
    JobUnknown,
    JobCancelled,
    JobFailed,
    /// An earlier run has completed the task.
    Superseded,
    /// Another member of the gang is missing.
    GangIncomplete,
    /// A start request had no response.
    StartUnanswered,
    /// The worker lists a run that no claim covers.
    Unclaimed,
};

/// A reason with the job that it concerns.
struct StopCause {
    StopReason reason = StopReason::Preempted;
    /// Job that a run is preempted for; empty for other reasons.
    state::JobId beneficiary;
};

/// @return whether the run is stopped for its capacity alone, so that it need not start if it has not yet.
constexpr bool yieldsCapacity(StopReason reason)
{
    return reason == StopReason::Preempted || reason == StopReason::BackfillEnded;
}

/// @return the reason as a log and metric value.
constexpr const char* stopReasonName(StopReason reason)
{
    switch (reason) {
    case StopReason::Preempted:
        return "preempted";
    case StopReason::BackfillEnded:
        return "backfill_ended";
    case StopReason::JobUnknown:
        return "job_unknown";
    case StopReason::JobCancelled:
        return "job_cancelled";
    case StopReason::JobFailed:
        return "job_failed";
    case StopReason::Superseded:
        return "superseded";
    case StopReason::GangIncomplete:
        return "gang_member_missing";
    case StopReason::StartUnanswered:
        return "start_unanswered";
    case StopReason::Unclaimed:
        return "unclaimed";
    }
    return "unknown";
}

} // namespace lentilsaddle::coordination::batch
