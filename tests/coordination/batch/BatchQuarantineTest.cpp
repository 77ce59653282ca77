#include "BatchTaskFixture.h"

#include <chrono>
#include <string>
#include <thread>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using std::chrono::milliseconds;

/// An instance with one worker, which is quarantined for a short time.
class BatchQuarantineTest : public BatchTaskTest {
protected:
    BatchQuarantineTest()
    {
        m_options.quarantine.duration = milliseconds(400);
        // Delayed appends of the leader are confirmed in time.
        m_options.leaderLease = milliseconds(600);
        m_options.failoverDelay = milliseconds(900);
        m_options.appendTimeout = milliseconds(300);
        m_options.submitTimeout = milliseconds(300);
    }

    static BatchJob jobNamed(const std::string& name)
    {
        BatchJob job = makeJob();
        job.id = state::JobId(name);
        job.queue.maximumAttempts = 1;
        return job;
    }

    static std::string taskOf(const BatchJob& job) { return job.id.value() + ".0.0.0"; }

    // Lets a job of its own fail on the worker as often as it takes to quarantine it.
    void quarantineWorker(BatchTask& task)
    {
        for (const char* name : { "00000000000000b1", "00000000000000b2", "00000000000000b3" }) {
            BatchJob job = jobNamed(name);
            ASSERT_EQ(submit(task, job), ChangeOutcome::Done);
            ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskOf(job)) == 1; }));
            m_workers.finish("w1", taskOf(job), EndedTask::Reason::Failed);
            ASSERT_TRUE(waitUntil([&] { return query(task, job.id).phase == BatchJobEntry::Phase::Failed; }));
        }
    }
};

// Guards against a worker that gets no work any more, because the job that probes it is cancelled while its claim is
// stored.
TEST_F(BatchQuarantineTest, WorkerIsProbedAgainAfterItsProbeWasCancelledBeforeItsStart)
{
    auto task = startInstance("e-1");
    quarantineWorker(*task);
    BatchJob probe = jobNamed("00000000000000c1");
    ASSERT_EQ(submit(*task, probe), ChangeOutcome::Done);
    m_store.setAppendDelay(milliseconds(150));
    ASSERT_TRUE(waitUntilStored(makeKey(taskKeyPrefix, taskOf(probe))));
    m_store.put(Stream::Journal, makeKey(cancellationKeyPrefix, probe.id.value()), "1");
    std::this_thread::sleep_for(milliseconds(200));
    m_store.setAppendDelay(milliseconds(0));
    ASSERT_EQ(m_workers.starts(taskOf(probe)), 0);
    BatchJob next = jobNamed("00000000000000c2");
    ASSERT_EQ(submit(*task, next), ChangeOutcome::Done);
    EXPECT_TRUE(waitUntil([&] { return m_workers.starts(taskOf(next)) == 1; }, milliseconds(2'000)));
}

// Guards against the same if the worker crashes under the probe and the directory no longer lists it for a while.
TEST_F(BatchQuarantineTest, WorkerIsProbedAgainAfterItsProbeWasLost)
{
    auto task = startInstance("e-1");
    quarantineWorker(*task);
    BatchJob probe = jobNamed("00000000000000c1");
    ASSERT_EQ(submit(*task, probe), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskOf(probe)) == 1; }));
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", std::nullopt);
    letTheLeaderAct();
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    EXPECT_TRUE(waitUntil([&] { return m_workers.starts(taskOf(probe)) == 2; }, milliseconds(2'000)));
}

} // namespace lentilsaddle::coordination::batch
