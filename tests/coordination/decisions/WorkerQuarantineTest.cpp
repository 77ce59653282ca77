#include "coordination/decisions/WorkerQuarantine.h"

#include <gtest/gtest.h>

#include <string>

namespace lentilsaddle::coordination {

namespace {

    using namespace std::chrono_literals;
    using state::JobId;
    using State = WorkerQuarantine::State;

    class WorkerQuarantineTest : public testing::Test {
    protected:
        bool fail(const std::string& job) { return m_quarantine.startFailed(m_worker, JobId(job), m_now); }
        State state(std::chrono::seconds later = 0s) { return m_quarantine.state(m_worker, m_now + later); }

        state::WorkerId m_worker { "w" };
        state::MonotonicTime m_now { 1h };
        WorkerQuarantine m_quarantine { {} };
    };

} // namespace

// Guards against a worker that fails everything and eats up the attempts of one job after another.
TEST_F(WorkerQuarantineTest, ThreeFailuresOfDifferentJobsCloseTheWorker)
{
    EXPECT_FALSE(fail("j1"));
    EXPECT_FALSE(fail("j2"));
    EXPECT_TRUE(fail("j3"));
    EXPECT_EQ(state(), State::Quarantined);
}

// Guards against blaming workers for a job that always fails.
TEST_F(WorkerQuarantineTest, FailuresOfOneJobCountOnce)
{
    for (int i = 0; i < 5; ++i)
        fail("j1");
    EXPECT_EQ(state(), State::Available);
}

// Guards against counting failures that lie far apart.
TEST_F(WorkerQuarantineTest, SuccessForgetsEarlierFailures)
{
    fail("j1");
    fail("j2");
    m_quarantine.startSucceeded(m_worker);
    fail("j3");
    EXPECT_EQ(state(), State::Available);
}

// Guards against a flood of jobs to a worker that has not proved itself yet, and against one lost for good.
TEST_F(WorkerQuarantineTest, HalfOpenWorkerTakesOneProbe)
{
    for (const char* job : { "j1", "j2", "j3" })
        fail(job);
    EXPECT_EQ(state(59s), State::Quarantined);
    EXPECT_EQ(state(60s), State::Probing);
    m_quarantine.probeStarted(m_worker, JobId("probe"));
    EXPECT_EQ(state(60s), State::Quarantined);
    m_quarantine.probeAbandoned(m_worker, JobId("probe"));
    EXPECT_EQ(state(60s), State::Probing);
    m_quarantine.probeStarted(m_worker, JobId("probe"));
    m_now += 60s;
    EXPECT_TRUE(fail("probe"));
    EXPECT_EQ(state(119s), State::Quarantined);
    EXPECT_EQ(state(120s), State::Probing);
    m_quarantine.startSucceeded(m_worker);
    EXPECT_EQ(state(), State::Available);
}

} // namespace lentilsaddle::coordination
