#include "coordination/jobs/SubmissionTracker.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace lentilsaddle::coordination {

namespace {

    using AppendStatus = LogMessage::AppendStatus;
    using Status = SchedulerMessage::JobResponse::Status;
    using namespace std::chrono_literals;

    class SubmissionTrackerTest : public testing::Test {
    protected:
        /// Submits the job, or cancels it, with a response that is due in a second.
        /// @return whether the record must be appended.
        bool submit() { return m_tracker.submit(m_job, reply(), m_now + 1s); }
        bool cancel() { return m_tracker.cancel(m_job.id, reply(), m_now + 1s); }

        SubmissionTracker::Reply reply()
        {
            return [this](const SchedulerMessage::JobResponse& response) { m_responses.push_back(response.status); };
        }

        void letResponsesBecomeDue()
        {
            m_now += 1s;
            m_tracker.expire(m_now);
        }

        state::JobSpecification m_job { .id = state::JobId("j"), .account = state::AccountId("a") };
        state::MonotonicTime m_now {};
        SubmissionTracker m_tracker;
        std::vector<Status> m_responses;
    };

} // namespace

// Guards against reporting "not run" for a job while the append of an earlier submission has no result yet, because the
// append of the repeated one was refused.
TEST_F(SubmissionTrackerTest, RefusalBesideAnAppendInFlightDoesNotDecideASubmission)
{
    ASSERT_TRUE(submit());
    letResponsesBecomeDue();
    ASSERT_TRUE(submit());
    m_tracker.submissionAppended(m_job.id, AppendStatus::NotAppended);
    EXPECT_EQ(m_responses, std::vector { Status::Unknown });
    EXPECT_TRUE(m_tracker.submissionUnresolved(m_job.id));
    m_tracker.submissionAppended(m_job.id, AppendStatus::Unresolved);
    letResponsesBecomeDue();
    EXPECT_EQ(m_responses, (std::vector { Status::Unknown, Status::Unknown }));
    EXPECT_TRUE(m_tracker.submissionUnresolved(m_job.id));
}

// Guards against the same for a cancellation, and against never refusing it although all of its appends were refused.
TEST_F(SubmissionTrackerTest, CancellationIsRefusedOnlyAfterAllOfItsAppends)
{
    ASSERT_TRUE(cancel());
    letResponsesBecomeDue();
    ASSERT_TRUE(cancel());
    m_tracker.cancellationAppended(m_job.id, AppendStatus::NotAppended);
    EXPECT_EQ(m_responses, std::vector { Status::Unknown });
    EXPECT_TRUE(m_tracker.cancellationUnresolved(m_job.id));
    m_tracker.cancellationAppended(m_job.id, AppendStatus::NotAppended);
    EXPECT_EQ(m_responses, (std::vector { Status::Unknown, Status::Refused }));
    EXPECT_FALSE(m_tracker.cancellationUnresolved(m_job.id));
}

// Guards against reporting "not run" for a job that the log shows, because its repetition was refused later.
TEST_F(SubmissionTrackerTest, RecordOfAnEarlierSubmissionAnswersTheRepeatedOne)
{
    ASSERT_TRUE(submit());
    m_tracker.submissionAppended(m_job.id, AppendStatus::Unresolved);
    letResponsesBecomeDue();
    ASSERT_TRUE(submit());
    m_tracker.submissionRead(m_job);
    m_tracker.submissionAppended(m_job.id, AppendStatus::NotAppended);
    EXPECT_EQ(m_responses, (std::vector { Status::Unknown, Status::Accepted }));
}

} // namespace lentilsaddle::coordination
