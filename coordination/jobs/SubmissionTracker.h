/// @file
/// Pending submissions and cancellations.
#pragma once

#include "coordination/jobs/SchedulerMessage.h"
#include "coordination/log/LogMessage.h"
#include "state/JobTable.h"
#include "state/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Responds to callers according to the log: accepted after the record was read back, refused if it was certainly not
/// appended, unknown if neither is certain by the deadline.
class SubmissionTracker {
public:
    using Reply = std::function<void(SchedulerMessage::JobResponse)>;

    /// Registers a caller to be notified when the record of its submission is read.
    /// @return whether the record must be appended; false if a submission of the same job is already pending. If that
    /// one has another body, the response is a conflict.
    bool submit(const state::JobSpecification& specification, Reply reply, state::MonotonicTime deadline);

    /// Registers a caller to be notified when the record of its cancellation is read.
    /// @return whether the record must be appended; false if a cancellation of the same job is already pending.
    bool cancel(const state::JobId& job, Reply reply, state::MonotonicTime deadline);

    /// Responds to the callers of a submission whose JobSubmitted record was read.
    /// @param accepted specification that the table holds for the job.
    void submissionRead(const state::JobSpecification& accepted);
    /// Responds to the callers of a cancellation whose JobCancelled record was read.
    void cancellationRead(const state::JobId& job);

    /// Responds to the callers if the record was certainly not appended: with Refused, or with Unknown if an earlier
    /// append of it may have taken effect.
    void submissionAppended(const state::JobId& job, LogMessage::AppendStatus status);
    void cancellationAppended(const state::JobId& job, LogMessage::AppendStatus status);

    /// @return whether the record may be in the log although it has not been read.
    bool submissionUnresolved(const state::JobId& job) const { return unresolved(m_submissions, job); }
    bool cancellationUnresolved(const state::JobId& job) const { return unresolved(m_cancellations, job); }

    /// Responds to callers whose deadline has passed with the status Unknown.
    void expire(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextDeadline() const;

private:
    struct Waiter {
        state::JobSpecification specification;
        Reply reply;
        state::MonotonicTime deadline;
    };
    /// Record that has not been read.
    struct PendingRecord {
        std::vector<Waiter> waiters;
        int appendsInFlight = 0;
        /// An append has ended, and may have taken effect.
        bool unresolved = false;
        state::MonotonicTime latestDeadline {};
    };
    using RecordsByJob = std::map<state::JobId, PendingRecord>;

    /// @return whether the record must be appended.
    static bool addWaiter(PendingRecord& record, Waiter waiter);
    static void appended(RecordsByJob& jobs, const state::JobId& job, LogMessage::AppendStatus status);
    static void expire(RecordsByJob& jobs, state::MonotonicTime now);
    static bool unresolved(const RecordsByJob& jobs, const state::JobId& job);

    RecordsByJob m_submissions;
    RecordsByJob m_cancellations;
};

} // namespace lentilsaddle::coordination
