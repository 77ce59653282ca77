#include "coordination/decisions/FailoverPolicy.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

namespace {

    using namespace std::chrono_literals;
    using state::JobId;
    using state::MonotonicTime;
    using state::WorkerId;

    class FailoverPolicyTest : public testing::Test {
    protected:
        void begin(bool predecessorInactive)
        {
            m_policy.begin({ .claimRead = m_now,
                .predecessorInactive = predecessorInactive,
                .queued = { JobId("old") },
                .unresponsive = { WorkerId("w") } });
        }

        bool held(std::chrono::seconds later, const char* job = "old")
        {
            return m_policy.blockedUntil(JobId(job), m_now + later).has_value();
        }

        MonotonicTime m_now { 100h };
        FailoverPolicy m_policy { {} };
    };

} // namespace

// Guards against a second start of a job that a cut-off scheduler started on a worker out of sight.
TEST_F(FailoverPolicyTest, JobsWaitForTheIsolationLimitOfALivePredecessor)
{
    begin(false);
    EXPECT_TRUE(held(2h + 31s));
    EXPECT_FALSE(held(2h + 32s));
}

// Guards against jobs that wait for hours although the earlier scheduler is known to have ended.
TEST_F(FailoverPolicyTest, DeadPredecessorHoldsJobsForOneLeaseTerm)
{
    begin(true);
    EXPECT_TRUE(held(31s));
    EXPECT_FALSE(held(32s));
    begin(false);
    m_policy.predecessorEnded(m_now + 60s);
    EXPECT_TRUE(held(91s));
    EXPECT_FALSE(held(92s));
}

// Guards against holding back what cannot run unseen.
TEST_F(FailoverPolicyTest, OnlyOldJobsWaitAndOnlyWhileAWorkerIsSilent)
{
    begin(false);
    EXPECT_FALSE(held(0s, "new"));
    m_policy.workerResponded(WorkerId("w"));
    EXPECT_FALSE(held(0s));
}

// Guards against a cut-off scheduler that starts jobs after its successor stopped waiting for it.
TEST_F(FailoverPolicyTest, StartsWithoutTheLogEndBeforeTheIsolationLimit)
{
    state::JobSpecification job;
    EXPECT_TRUE(m_policy.mayStartWithoutLog(job, m_now, m_now + 1h));
    EXPECT_FALSE(m_policy.mayStartWithoutLog(job, m_now, m_now + 2h - 2s));
    job.repeatable = false;
    EXPECT_FALSE(m_policy.mayStartWithoutLog(job, m_now, m_now));
}

} // namespace lentilsaddle::coordination
