#include "BatchTaskFixture.h"

#include <string>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using std::chrono::milliseconds;

namespace {

    std::string memberName(int index)
    {
        return jobId.value() + ".0.0." + std::to_string(index);
    }

    BatchJob makeGang(int maximumAttempts)
    {
        BatchJob job = makeJob(3);
        job.steps[0].gang = true;
        job.queue.maximumAttempts = maximumAttempts;
        return job;
    }

} // namespace

// Guards against a gang that has attempts left and is shown as failed, because members that failed in the same run, and
// one of them in the next run too, are counted as three failures.
TEST_F(BatchTaskTest, GangWhoseMembersFailTogetherKeepsItsAttempts)
{
    auto task = startInstance("e-1");
    submit(*task, makeGang(3));
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 3; }));
    m_workers.finish("w1", memberName(1), EndedTask::Reason::Failed);
    m_workers.finish("w1", memberName(2), EndedTask::Reason::Failed);
    m_workers.finish("w1", memberName(0), EndedTask::Reason::GangBroken);
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 3; }));
    m_workers.finish("w1", memberName(2), EndedTask::Reason::Failed);
    m_workers.finish("w1", memberName(0), EndedTask::Reason::GangBroken);
    m_workers.finish("w1", memberName(1), EndedTask::Reason::GangBroken);
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(memberName(0)) == 3; }));
    EXPECT_NE(query(*task, jobId).phase, BatchJobEntry::Phase::Failed);
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 3; }));
    m_workers.finish("w1", memberName(0), EndedTask::Reason::Failed);
    m_workers.finish("w1", memberName(1), EndedTask::Reason::GangBroken);
    m_workers.finish("w1", memberName(2), EndedTask::Reason::GangBroken);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
}

// Guards against an attempt that is not counted, because the worker listed the failure only after the task had been
// started elsewhere.
TEST_F(BatchTaskTest, FailureThatIsListedLateCounts)
{
    addWorkers(1);
    auto task = startInstance("e-1");
    BatchJob job = makeJob();
    submit(*task, job);
    ASSERT_TRUE(waitUntilRunning());
    // The task fails while the worker cannot report it. The run is lost when the lease has expired.
    m_workers.makeUnreachable("w1");
    m_workers.finish("w1", taskName, EndedTask::Reason::Failed);
    addWorkers(2);
    ASSERT_TRUE(waitUntil([this] { return workerOf(taskName) == "w2"; }));
    m_workers.makeReachable("w1");
    ASSERT_TRUE(waitUntil([this] { return m_workers.acknowledged("w1") == 1; }));
    m_workers.finish("w2", taskName, EndedTask::Reason::Failed);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    EXPECT_EQ(m_workers.starts(taskName), 2);
}

} // namespace lentilsaddle::coordination::batch
