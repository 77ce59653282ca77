#include "BatchTaskFixture.h"

#include "coordination/decisions/batch/BatchPlanner.h"

#include <string>
#include <thread>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using std::chrono::milliseconds;

// Guards against new work on a draining worker.
TEST_F(BatchTaskTest, DrainingWorkerGetsNoWork)
{
    m_store.put(Stream::Directory, "w1", "draining");
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_EQ(m_workers.starts(taskName), 0);
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against a worker over its capacity: one that shrinks while a claim is being stored must not get the start.
TEST_F(BatchTaskTest, CapacityThatShrinksBeforeAStartIsNotExceeded)
{
    setAccelerators("w1", 0);
    auto task = startInstance("e-1");
    holdClaims(*task, makeJob(), { { "w1", 8 } });
    setAccelerators("w1", 0);
    letTheLeaderAct();
    m_store.setAppendFault(FakeStore::AppendFault::None);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    setAccelerators("w1", 8);
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against new work on a worker that begins to drain while the claim is being stored.
TEST_F(BatchTaskTest, ClaimForAWorkerThatBeginsToDrainIsNotStarted)
{
    setAccelerators("w1", 0);
    auto task = startInstance("e-1");
    holdClaims(*task, makeJob(), { { "w1", 8 } });
    m_store.put(Stream::Directory, "w1", "draining");
    letTheLeaderAct();
    m_store.setAppendFault(FakeStore::AppendFault::None);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against a start over a capacity that has shrunk unseen: the store confirms the claim, but the directory cannot
// be read.
TEST_F(BatchTaskTest, ClaimIsNotStartedWhileTheDirectoryIsStale)
{
    setAccelerators("w1", 0);
    auto task = startInstance("e-1");
    holdClaims(*task, makeJob(), { { "w1", 8 } });
    m_store.setUnresponsive(Stream::Directory, true);
    letTheDirectoryBecomeStale();
    setAccelerators("w1", 0);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    m_store.setUnresponsive(Stream::Directory, false);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    setAccelerators("w1", 8);
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against the same for a job that arrives while the directory cannot be read.
TEST_F(BatchTaskTest, NothingIsPlannedWhileTheDirectoryIsStale)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load() && m_workers.observations() > 0; }));
    m_store.setUnresponsive(Stream::Directory, true);
    letTheDirectoryBecomeStale();
    setAccelerators("w1", 0);
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    setAccelerators("w1", 8);
    m_store.setUnresponsive(Stream::Directory, false);
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against a retry of a start over a capacity that has shrunk unseen.
TEST_F(BatchTaskTest, StartIsNotRepeatedWhileTheDirectoryIsStale)
{
    m_options.startRetryLimit = milliseconds(2'000);
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load() && m_workers.observations() > 0; }));
    m_workers.dropStarts(true);
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntil([this] { return m_workers.droppedStarts() > 0; }));
    m_store.setUnresponsive(Stream::Directory, true);
    setAccelerators("w1", 0);
    letTheDirectoryBecomeStale();
    m_workers.dropStarts(false);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    setAccelerators("w1", 8);
    m_store.setUnresponsive(Stream::Directory, false);
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against a worker over its capacity: a start without a response must not be repeated there after a shrink.
TEST_F(BatchTaskTest, StartIsNotRepeatedOnAWorkerThatHasShrunk)
{
    m_options.startRetryLimit = milliseconds(2'000);
    auto task = startInstance("e-1");
    m_workers.dropStarts(true);
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntil([this] { return m_workers.droppedStarts() > 0; }));
    setAccelerators("w1", 0);
    letTheLeaderAct();
    m_workers.dropStarts(false);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    setAccelerators("w1", 8);
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against new work on a draining worker: a start without a response must not be repeated there.
TEST_F(BatchTaskTest, StartIsNotRepeatedOnAWorkerThatBeginsToDrain)
{
    m_options.startRetryLimit = milliseconds(2'000);
    auto task = startInstance("e-1");
    m_workers.dropStarts(true);
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntil([this] { return m_workers.droppedStarts() > 0; }));
    m_store.put(Stream::Directory, "w1", "draining");
    letTheLeaderAct();
    m_workers.dropStarts(false);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against stopping a start without a response although its worker has shrunk no further than what runs there.
TEST_F(BatchTaskTest, StartIsRepeatedOnAShrunkenWorkerWhereItFits)
{
    m_options.startRetryLimit = milliseconds(2'000);
    auto task = startInstance("e-1");
    m_workers.dropStarts(true);
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntil([this] { return m_workers.droppedStarts() > 0; }));
    setAccelerators("w1", 1);
    letTheLeaderAct();
    m_workers.dropStarts(false);
    ASSERT_TRUE(waitUntilRunning());
    EXPECT_EQ(m_workers.running().front(), std::string("w1 ") + taskName + " 1");
}

// Guards against giving back more claims than the smaller capacity requires.
TEST_F(BatchTaskTest, ClaimsThatStillFitAfterAShrinkAreStarted)
{
    setAccelerators("w1", 0);
    auto task = startInstance("e-1");
    holdClaims(*task, makeJob(6), { { "w1", 8 } });
    setAccelerators("w1", 2);
    letTheLeaderAct();
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
    letTheLeaderAct();
    EXPECT_EQ(m_workers.running().size(), 2U);
    setAccelerators("w1", 8);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 6; }));
}

// Guards against a gang of which only some members start because the worker of another one has shrunk.
TEST_F(BatchTaskTest, GangIsNotStartedInPartAfterAShrink)
{
    setAccelerators("w1", 0);
    setAccelerators("w2", 0);
    auto task = startInstance("e-1");
    BatchJob job = makeJob(2);
    job.steps[0].gang = true;
    holdClaims(*task, job, { { "w1", 1 }, { "w2", 1 } });
    setAccelerators("w2", 0);
    letTheLeaderAct();
    m_store.setAppendFault(FakeStore::AppendFault::None);
    letTheLeaderAct();
    for (int index = 0; index < 2; ++index)
        EXPECT_EQ(m_workers.starts("00000000000000aa.0.0." + std::to_string(index)), 0);
    setAccelerators("w2", 1);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a job that fails because claims that were given back count as attempts.
TEST_F(BatchTaskTest, ClaimThatIsGivenBackIsNoAttempt)
{
    setAccelerators("w1", 0);
    auto task = startInstance("e-1");
    holdClaims(*task, makeJob(), { { "w1", 8 } });
    setAccelerators("w1", 0);
    letTheLeaderAct();
    m_store.setAppendFault(FakeStore::AppendFault::None);
    letTheLeaderAct();
    ASSERT_EQ(m_workers.starts(taskName), 0);
    setAccelerators("w1", 8);
    for (int attempt = 0; attempt < 2; ++attempt) {
        ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == attempt + 1; }));
        EXPECT_NE(query(*task, jobId).phase, BatchJobEntry::Phase::Failed);
        m_workers.finish("w1", taskName, EndedTask::Reason::Failed);
    }
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
}

// Guards against a start on a worker that still runs as much as its smaller capacity, or more.
TEST_F(BatchTaskTest, WorkerOverItsShrunkenCapacityGetsNoWork)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob(4));
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 4; }));
    setAccelerators("w1", 2);
    letTheLeaderAct();
    BatchJob job = makeJob();
    job.id = state::JobId("00000000000000bb");
    submit(*task, job);
    for (int ended = 0; ended < 3; ++ended) {
        letTheLeaderAct();
        EXPECT_EQ(m_workers.starts(job.id.value() + ".0.0.0"), 0);
        m_workers.finish("w1", jobId.value() + ".0.0." + std::to_string(ended), EndedTask::Reason::Done);
    }
    EXPECT_TRUE(waitUntil([&] { return m_workers.starts(job.id.value() + ".0.0.0") == 1; }));
}

// Guards against a worker over its capacity because a run of a job that the leader does not know counts as nothing
// until it has been stopped.
TEST_F(BatchTaskTest, UnknownRunHoldsTheWholeWorkerUntilItHasEnded)
{
    m_workers.run("w1", "00000000000000cc.0.0.0", 1);
    m_workers.dropStops(true);
    auto task = startInstance("e-1");
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    letTheLeaderAct();
    EXPECT_EQ(m_workers.starts(taskName), 0);
    m_workers.dropStops(false);
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 1; }));
}

// Guards against capacity that stays unused after a worker has grown.
TEST_F(BatchTaskTest, GrownCapacityIsUsedAtOnce)
{
    setAccelerators("w1", 2);
    auto task = startInstance("e-1");
    submit(*task, makeJob(6));
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
    letTheLeaderAct();
    EXPECT_EQ(m_workers.running().size(), 2U);
    setAccelerators("w1", 8);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 6; }, milliseconds(1'000)));
}

// Guards against a new leader that reckons with the capacity at the time of the claims it inherits.
TEST_F(BatchTaskTest, NewLeaderCountsInheritedRunsAgainstTheShrunkenCapacity)
{
    auto first = startInstance("e-1");
    submit(*first, makeJob(4));
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 4; }));
    auto second = startInstance("e-2");
    first.reset();
    setAccelerators("w1", 4);
    BatchJob job = makeJob();
    job.id = state::JobId("00000000000000bb");
    ASSERT_TRUE(waitUntil([&] { return submit(*second, job) == ChangeOutcome::Done; }));
    std::this_thread::sleep_for(milliseconds(700));
    EXPECT_EQ(m_workers.running().size(), 4U);
    EXPECT_EQ(m_workers.starts(job.id.value() + ".0.0.0"), 0);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return m_workers.starts(job.id.value() + ".0.0.0") == 1; }));
}

// Guards against a job that waits on idle workers which are kept for a gang, and against a gang that waits for a job on
// its workers that outlasts its estimate.
TEST_F(BatchTaskTest, IdleWorkersOfAWaitingGangAreLentUntilItCanStart)
{
    auto makeWide = [](const std::string& id, int tasks, milliseconds estimate) {
        BatchJob job = makeJob(tasks);
        job.id = state::JobId(id);
        job.queue.priority = 1;
        job.steps.front().resources.accelerators = 8;
        job.steps.front().runTimeEstimate = estimate;
        return job;
    };
    addWorkers(3);
    auto task = startInstance("e-1");
    submit(*task, makeWide("00000000000000bb", 1, milliseconds(60'000)));
    ASSERT_TRUE(waitUntilRunning());
    BatchJob gang = makeWide(jobId.value(), 3, milliseconds(1'000));
    gang.steps.front().gang = true;
    submit(*task, gang);
    std::this_thread::sleep_for(PlannerOptions().reservationDelay + milliseconds(200));
    BatchJob small = makeJob();
    small.id = state::JobId("00000000000000cc");
    small.queue.priority = 2;
    small.steps.front().runTimeEstimate = milliseconds(500);
    submit(*task, small);
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts("00000000000000cc.0.0.0") == 1; }, milliseconds(2'000)));
    ASSERT_EQ(m_workers.starts(taskName), 0);

    m_workers.finish(workerOf("00000000000000bb.0.0.0"), "00000000000000bb.0.0.0", EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 1; }));
}

} // namespace lentilsaddle::coordination::batch
