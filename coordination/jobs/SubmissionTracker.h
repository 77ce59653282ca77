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

    /// Refuses the callers if the record was certainly not appended.
    void submissionAppended(const state::JobId& job, LogMessage::AppendStatus status);
    void cancellationAppended(const state::JobId& job, LogMessage::AppendStatus status);

    /// Responds to callers whose deadline has passed with the status Unknown.
    void expire(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextDeadline() const;

private:
    struct Waiter {
        state::JobSpecification specification;
        Reply reply;
        state::MonotonicTime deadline;
    };
    using WaitersByJob = std::map<state::JobId, std::vector<Waiter>>;

    static void appended(WaitersByJob& jobs, const state::JobId& job, LogMessage::AppendStatus status);
    static void expire(WaitersByJob& jobs, state::MonotonicTime now);

    WaitersByJob m_submissions;
    WaitersByJob m_cancellations;
};

} // namespace lentilsaddle::coordination
