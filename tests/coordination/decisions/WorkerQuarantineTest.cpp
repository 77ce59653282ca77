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

// Guards against a worker that fails every start and so uses up the attempts of one job after another.
TEST_F(WorkerQuarantineTest, ThreeFailuresOfDifferentJobsQuarantineTheWorker)
{
    EXPECT_FALSE(fail("j1"));
    EXPECT_FALSE(fail("j2"));
    EXPECT_TRUE(fail("j3"));
    EXPECT_EQ(state(), State::Quarantined);
}

// Guards against quarantining workers because of a job that always fails.
TEST_F(WorkerQuarantineTest, FailuresOfOneJobCountOnce)
{
    for (int i = 0; i < 5; ++i)
        fail("j1");
    EXPECT_EQ(state(), State::Available);
}

// Guards against counting failures that are separated by a success.
TEST_F(WorkerQuarantineTest, SuccessResetsTheFailureCount)
{
    fail("j1");
    fail("j2");
    m_quarantine.startSucceeded(m_worker);
    fail("j3");
    EXPECT_EQ(state(), State::Available);
}

// Guards against many jobs on a worker whose probe has not succeeded yet, and against a permanent quarantine.
TEST_F(WorkerQuarantineTest, QuarantinedWorkerGetsOneProbeAtATime)
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
