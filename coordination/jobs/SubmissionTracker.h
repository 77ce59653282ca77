/// @file
/// Submissions and cancellations that wait for their record.
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

/// Answers a caller only with what the log says: accepted after the record was read back, refused if it was never
/// appended, unknown if neither is certain by the deadline.
class SubmissionTracker {
public:
    using Reply = std::function<void(SchedulerMessage::JobResponse)>;

    /// Waits for a submission's record.
    /// @return whether the caller must append the record; false if one with the same body is already under way.
    bool submit(const state::JobSpecification& specification, Reply reply, state::MonotonicTime deadline);

    /// Waits for a cancellation's record.
    /// @return whether the caller must append the record.
    bool cancel(const state::JobId& job, Reply reply, state::MonotonicTime deadline);

    /// A JobSubmitted record was read.
    /// @param accepted specification that the table holds for the job.
    void submissionRead(const state::JobSpecification& accepted);
    /// A JobCancelled record was read.
    void cancellationRead(const state::JobId& job);

    /// Notes the result of an append.
    void submissionAppended(const state::JobId& job, LogMessage::AppendStatus status);
    void cancellationAppended(const state::JobId& job, LogMessage::AppendStatus status);

    /// Answers what is past its deadline as unknown.
    void expire(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextDeadline() const;

private:
    struct Waiting {
        state::JobSpecification specification;
        Reply reply;
        state::MonotonicTime deadline;
    };
    using WaitingJobs = std::map<state::JobId, std::vector<Waiting>>;

    static void appended(WaitingJobs& jobs, const state::JobId& job, LogMessage::AppendStatus status);
    static void expire(WaitingJobs& jobs, state::MonotonicTime now);

    WaitingJobs m_submissions;
    WaitingJobs m_cancellations;
};

} // namespace lentilsaddle::coordination
