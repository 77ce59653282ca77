#include "BatchTaskFixture.h"

#include <set>
#include <string>
#include <thread>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using state::batch::BatchTaskState;
using std::chrono::milliseconds;

// Guards against a task that crashes one worker after the other without end.
TEST_F(BatchTaskTest, TaskThatCrashesItsWorkersIsGivenUp)
{
    addWorkers(8);
    m_workers.crashOnStart(taskName, FakeWorkers::Return::AsAnotherWorker);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_LE(m_workers.starts(taskName), 3);
}

// Guards against the same where a crashed worker returns under its identity.
TEST_F(BatchTaskTest, TaskThatCrashesAWorkerThatReturnsUnderItsIdentityIsGivenUp)
{
    m_workers.crashOnStart(taskName, FakeWorkers::Return::UnderItsIdentity);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_LE(m_workers.starts(taskName), 3);
}

// Guards against a gang of which one member crashes its workers without end.
TEST_F(BatchTaskTest, GangThatCrashesItsWorkersIsGivenUp)
{
    addWorkers(8);
    m_workers.crashOnStart(taskName, FakeWorkers::Return::AsAnotherWorker);
    auto task = startInstance("e-1");
    BatchJob job = makeJob(2);
    job.steps[0].gang = true;
    job.steps[0].resources.accelerators = 5;
    submit(*task, job);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().empty(); }));
    EXPECT_LE(m_workers.starts(taskName), 3);
}

// Guards against a job that is reported as failed although it only shared workers with a task that crashes them.
TEST_F(BatchTaskTest, TaskThatSharedACrashedWorkerIsDone)
{
    addWorkers(8);
    m_workers.crashOnStart(taskName, FakeWorkers::Return::AsAnotherWorker);
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    BatchJob other = makeJob(4);
    other.id = state::JobId("00000000000000bb");
    submit(*task, other);
    submit(*task, makeJob());
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    EXPECT_LE(m_workers.starts(taskName), 5);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 4; }));
    for (const std::string& run : m_workers.running()) {
        std::size_t space = run.find(' ');
        m_workers.finish(
            run.substr(0, space), run.substr(space + 1, run.rfind(' ') - space - 1), EndedTask::Reason::Done);
    }
    EXPECT_TRUE(waitUntil([&] { return query(*task, other.id).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against a count of crashes that starts again with each leader, and is lost when all instances restart.
TEST_F(BatchTaskTest, CrashesOfWorkersAreCountedAcrossRestartsOfAllInstances)
{
    addWorkers(8);
    m_workers.crashOnStart(taskName, FakeWorkers::Return::AsAnotherWorker);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    for (int starts = 1; starts <= 6; ++starts) {
        bool started = waitUntil([&] { return m_workers.starts(taskName) >= starts; }, milliseconds(2'000));
        if (!started)
            break;
        task.reset();
        task = startInstance("e-1");
    }
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    EXPECT_LE(m_workers.starts(taskName), 5);
}

// Guards against crashes that are not counted because the workers return only after their leases have expired.
TEST_F(BatchTaskTest, CrashOfAWorkerThatIsReplacedAfterItsLeaseIsCounted)
{
    addWorkers(6);
    m_workers.crashOnStart(taskName, FakeWorkers::Return::AsAnotherWorker, milliseconds(60'000));
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    std::set<std::string> replaced;
    bool failed = waitUntil(
        [&] {
            // Lists the successor of a crashed worker when its task has been started elsewhere.
            for (const std::string& worker : m_workers.crashed()) {
                if (m_workers.starts(taskName) > static_cast<int>(replaced.size()) + 1
                    && replaced.insert(worker).second)
                    m_store.put(Stream::Directory, "successor-of-" + worker, "ready address=" + worker);
            }
            return query(*task, jobId).phase == BatchJobEntry::Phase::Failed;
        },
        milliseconds(12'000));
    EXPECT_TRUE(failed);
    EXPECT_LE(m_workers.starts(taskName), 5);
}

// Guards against crashes that are forgotten when the leader changes after the entry of the crashed worker has expired.
TEST_F(BatchTaskTest, CrashOfAWorkerThatANewLeaderDoesNotFindInTheDirectoryIsCounted)
{
    addWorkers(12);
    m_workers.crashOnStart(taskName, FakeWorkers::Return::AsAnotherWorker);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    std::set<std::string> removed;
    for (int starts = 2; starts <= 8; ++starts) {
        if (!waitUntil([&] { return m_workers.starts(taskName) >= starts; }, milliseconds(4'000)))
            break;
        task.reset();
        for (const std::string& worker : m_workers.crashed()) {
            if (removed.insert(worker).second)
                m_store.put(Stream::Directory, worker, std::nullopt);
        }
        task = startInstance("e-1");
    }
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    EXPECT_LE(m_workers.starts(taskName), 5);
}

// Guards against a job that is reported as failed because workers that had its task were cut off.
TEST_F(BatchTaskTest, ExpiredLeasesDoNotCountAsCrashes)
{
    addWorkers(4);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    for (int cut = 1; cut <= 3; ++cut) {
        ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == cut; }));
        std::string run = m_workers.running().back();
        m_workers.makeUnreachable(run.substr(0, run.find(' ')));
    }
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 4; }));
    EXPECT_EQ(query(*task, jobId).phase, BatchJobEntry::Phase::Running);
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against one crash that counts as several, each attributed to one job, if a stop request shows it first.
TEST_F(BatchTaskTest, CrashOfAReplacedWorkerIsOneCrash)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    BatchJob other = makeJob();
    other.id = state::JobId("00000000000000bb");
    m_workers.crashOnStart("00000000000000bb.0.0.0", FakeWorkers::Return::AsAnotherWorker, milliseconds(300));
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 1; }));
    m_workers.loseNextStart();
    submit(*task, other);
    std::this_thread::sleep_for(milliseconds(900));
    EXPECT_EQ(stateOf(taskName).workerCrashes, 1);
    EXPECT_EQ(stateOf(taskName).attributedCrashes, 0);
    EXPECT_EQ(stateOf("00000000000000bb.0.0.0").workerCrashes, 1);
    EXPECT_EQ(stateOf("00000000000000bb.0.0.0").attributedCrashes, 0);
}

// Guards against blaming a job that was starting beside another one whose start had no response.
TEST_F(BatchTaskTest, CrashIsNotAttributedToAJobWhileAnotherOneMayHaveBeenStarting)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    BatchJob other = makeJob();
    other.id = state::JobId("00000000000000bb");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 1; }));
    m_workers.delayNextStart(milliseconds(20'000));
    submit(*task, other);
    ASSERT_TRUE(waitUntil([&] { return stateOf("00000000000000bb.0.0.0").phase == BatchTaskState::Phase::Claimed; }));
    // The start request is in flight then.
    std::this_thread::sleep_for(milliseconds(10));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    ASSERT_TRUE(waitUntil([&] { return stateOf(taskName).workerCrashes == 1; }));
    EXPECT_EQ(stateOf(taskName).attributedCrashes, 0);
}

// Guards against a crash under a run that a cut had ended before.
TEST_F(BatchTaskTest, RunLostByACutIsNotCountedWhenTheHealedWorkerCrashesLater)
{
    m_store.put(Stream::Directory, "w2", "ready");
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(300));
    std::string first = workerOf(taskName);
    m_workers.makeUnreachable(first);
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 2; }));
    m_workers.makeReachable(first);
    std::this_thread::sleep_for(milliseconds(600));
    m_workers.restart(first);
    m_store.put(Stream::Directory, first, "ready incarnation=2");
    std::this_thread::sleep_for(milliseconds(300));
    m_workers.finish(workerOf(taskName), taskName, EndedTask::Reason::Stopped);
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 3; }));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(stateOf(taskName).workerCrashes, 0);
}

// Guards against a crash under a run on a worker that had announced its shutdown, when its address is used again.
TEST_F(BatchTaskTest, AnnouncedShutdownIsNotCountedWhenTheAddressIsUsedAgain)
{
    m_store.put(Stream::Directory, "w2", "ready");
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(300));
    std::string first = workerOf(taskName);
    m_store.put(Stream::Directory, first, "draining");
    std::this_thread::sleep_for(milliseconds(300));
    m_workers.makeUnreachable(first);
    m_store.put(Stream::Directory, first, std::nullopt);
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 2; }));
    m_store.put(Stream::Directory, "w3", "ready address=" + first);
    std::this_thread::sleep_for(milliseconds(300));
    m_workers.finish(workerOf(taskName), taskName, EndedTask::Reason::Stopped);
    ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 3; }));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(stateOf(taskName).workerCrashes, 0);
}

// Guards against a job that is reported as failed because its starts were sent to workers that were down: they never
// ran it, and returned later.
TEST_F(BatchTaskTest, StartsToWorkersThatAreDownAreNoCrashes)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    m_workers.makeUnreachable("w1");
    submit(*task, makeJob());
    for (int restart = 1; restart <= 6; ++restart) {
        ASSERT_TRUE(waitUntil([&] { return stateOf(taskName).run == restart; }));
        // The start request has been sent and has no response.
        std::this_thread::sleep_for(milliseconds(100));
        m_workers.restart("w1");
        m_workers.dropStarts(true);
        m_store.put(Stream::Directory, "w1", "ready incarnation=" + std::to_string(restart + 1));
        ASSERT_TRUE(waitUntil([&] { return stateOf(taskName).run == restart + 1; }));
    }
    EXPECT_EQ(stateOf(taskName).attributedCrashes, 0);
    m_workers.dropStarts(false);
    EXPECT_TRUE(waitUntil([&] { return m_workers.starts(taskName) >= 1; }));
    EXPECT_EQ(query(*task, jobId).phase, BatchJobEntry::Phase::Running);
}

// Guards against a job that is reported as failed because whole groups of workers restarted while it was starting on
// one of them.
TEST_F(BatchTaskTest, CrashThatCoincidesWithOtherRestartsDoesNotGiveATaskUp)
{
    m_store.put(Stream::Directory, "w2", "accelerators=0");
    m_workers.crashOnStart(taskName, FakeWorkers::Return::UnderItsIdentity);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    for (int start = 1; start <= 3; ++start) {
        ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == start; }));
        m_workers.restart("w2");
        m_store.put(Stream::Directory, "w2", "accelerators=0 incarnation=" + std::to_string(start + 1));
    }
    EXPECT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == 4; }));
    EXPECT_FALSE(stateOf(taskName).givenUp);
    EXPECT_GE(stateOf(taskName).workerCrashes, 3);
}

} // namespace lentilsaddle::coordination::batch
