#include "BatchTaskFixture.h"

#include <string>
#include <thread>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using std::chrono::milliseconds;

// Guards against a task that runs twice because a start without a response is executed late.
TEST_F(BatchTaskTest, LateStartDoesNotRunATaskTwice)
{
    m_store.put(Stream::Directory, "w2", "ready");
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_workers.delayNextStart(milliseconds(400));
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_FALSE(m_workers.ranTwice());
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against a task that waits forever for an unresponsive worker, and against one that starts elsewhere while the
// worker still runs it.
TEST_F(BatchTaskTest, TaskOfAnUnresponsiveWorkerStartsElsewhereAfterItsLeaseExpires)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }, milliseconds(4'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a second run beside one that a worker's next incarnation executes: the lease that the leader had
// requested on the clock of the last one is shortened there only to the longest lease.
TEST_F(BatchTaskTest, RunThatWasNotListedIsLostOnlyAfterTheLongestLease)
{
    auto task = startInstance("e-1");
    // The leases of an earlier leader would have expired then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace);
    runFirstJob(*task);
    m_workers.restart("w1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }, milliseconds(4'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against the same if the directory shows the new incarnation, whose clock is unknown then.
TEST_F(BatchTaskTest, RunOnAnUnresponsiveNewIncarnationIsLostOnlyAfterTheLongestLease)
{
    auto task = startInstance("e-1");
    // The leases of an earlier leader would have expired then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace);
    runFirstJob(*task);
    m_workers.restart("w1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }, milliseconds(4'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a second run beside one on a new incarnation, whose lease an observation has extended for the clock of
// the last one.
TEST_F(BatchTaskTest, ObservationThatShowsARestartExtendsTheLeaseOfLaterRuns)
{
    auto task = startInstance("e-1");
    // The leases of an earlier leader would have expired then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace);
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.restart("w1");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 3; }, milliseconds(4'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a second run beside one on a new incarnation, whose lease a renewal without a response has extended
// before the incarnation saw a higher token: its end was meant for the clock of the last incarnation, so it is
// shortened there only to the longest lease.
TEST_F(BatchTaskTest, RenewalExecutedLateByTheNextIncarnationExtendsTheLease)
{
    auto task = startInstance("e-1");
    // The leases of an earlier leader would have expired then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace);
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.delayNextRenewalUntilRestart();
    ASSERT_TRUE(waitUntil([this] { return m_workers.renewalWaitsForRestart(); }));
    m_workers.restart("w1");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    EXPECT_GT(m_workers.remainingLease("w1"), shortOptions().workerLease);
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 3; }, milliseconds(6'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against the same if the renewal arrives when the incarnation has seen a request that was sent for it.
TEST_F(BatchTaskTest, RenewalExecutedLateByTheNextIncarnationIsRefused)
{
    auto task = startInstance("e-1");
    // The leases of an earlier leader would have expired then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace);
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    milliseconds delay { 1'500 };
    auto executed = std::chrono::steady_clock::now() + delay;
    m_workers.delayNextRenewal(delay);
    ASSERT_TRUE(waitUntil([this] { return !m_workers.renewalDelayPending(); }));
    m_workers.restart("w1");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    // The renewal may have been sent a little later.
    std::this_thread::sleep_until(executed + milliseconds(200));
    EXPECT_LE(m_workers.remainingLease("w1"), shortOptions().workerLease);
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 3; }, milliseconds(6'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against waiting for a lease although the directory shows that the run has ended with its worker.
TEST_F(BatchTaskTest, ListedRunIsLostWithItsIncarnationAlthoughTheNextOneIsUnresponsive)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.restart("w1");
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }, shortOptions().workerLease / 2));
}

// Guards against treating the definite response to a retried start as one to the first request: a task whose start was
// executed without a response would also start elsewhere.
TEST_F(BatchTaskTest, RefusedRetryDoesNotResolveAStartWithoutResponse)
{
    m_store.put(Stream::Directory, "w2", "ready");
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_workers.loseNextStart();
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_FALSE(m_workers.ranTwice());
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against a gang that is stopped as a whole because one of its starts was delayed.
TEST_F(BatchTaskTest, GangCompletesAlthoughOneStartIsDelayed)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_workers.delayNextStart(milliseconds(400));
    BatchJob job = makeJob(3);
    job.steps[0].gang = true;
    submit(*task, job);
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 3; }));
    std::this_thread::sleep_for(milliseconds(500));
    for (int index = 0; index < 3; ++index)
        EXPECT_EQ(m_workers.starts("00000000000000aa.0.0." + std::to_string(index)), 1);
    EXPECT_EQ(m_workers.running().size(), 3U);
}

// Guards against a second run of a gang beside a member of the first one, whose stops have no response after another
// member was lost with its worker.
TEST_F(BatchTaskTest, GangStartsAgainOnlyAfterAllOfItsRunsHaveEnded)
{
    setAccelerators("w1", 1);
    setAccelerators("w2", 1);
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    BatchJob job = makeJob(2);
    job.steps[0].gang = true;
    submit(*task, job);
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
    // Longer than an observation, so that a list has shown the runs.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.dropStops(true);
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w3", "ready");
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(m_workers.running().size(), 1U);
    m_workers.dropStops(false);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
    for (int index = 0; index < 2; ++index)
        EXPECT_EQ(m_workers.starts("00000000000000aa.0.0." + std::to_string(index)), 2);
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against waiting for the tasks of a restarted worker, and against a second run of them at the same time.
TEST_F(BatchTaskTest, TaskOfARestartedWorkerStartsAgain)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.restart("w1");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    EXPECT_FALSE(m_workers.ranTwice());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against a second run of a task whose start was executed by the next incarnation of its worker, before that was
// known: only lists of runs state the incarnation, so the response to the start does not show it.
TEST_F(BatchTaskTest, StartExecutedByTheNextIncarnationIsNotDeclaredLost)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    m_workers.restart("w1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_EQ(m_workers.starts(taskName), 1);
    EXPECT_FALSE(m_workers.ranTwice());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against a second run of a completed task: an acknowledgement for ends of the last incarnation made the next
// one forget ends of its own with the same numbers, before they were listed.
TEST_F(BatchTaskTest, AcknowledgementDoesNotReachTheEndsOfTheNextIncarnation)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    m_workers.restart("w1");
    m_workers.refuse("w1", { .observation = WorkerCallResult::Status::NotDelivered });
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    m_workers.refuse("w1", {});
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against an acknowledgement that is repeated to an unresponsive worker: its next incarnation would forget an
// end of its own with the same number. The worker executes the requests, and their responses are lost.
TEST_F(BatchTaskTest, UnresponsiveWorkerReceivesNoAcknowledgement)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    ASSERT_TRUE(waitUntil([this] { return m_store.refused(makeKey(taskKeyPrefix, taskName)); }));
    m_workers.refuse("w1", { .loseObservations = true });
    m_workers.resetObservations();
    // The worker is unresponsive from the failure of the first or second request on.
    ASSERT_TRUE(waitUntil([this] { return m_workers.observations() >= 3; }));
    m_store.setAppendFault(FakeStore::AppendFault::None);
    ASSERT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    m_workers.resetObservations();
    ASSERT_TRUE(waitUntil([this] { return m_workers.observations() >= 5; }));
    EXPECT_EQ(m_workers.acknowledged("w1"), 0);
    m_workers.refuse("w1", {});
    EXPECT_TRUE(waitUntil([this] { return m_workers.acknowledged("w1") == 1; }));
}

// Guards against an end that an idle worker lists for ever, because the end was stored while an observation was in
// flight that did not carry its acknowledgement.
TEST_F(BatchTaskTest, EndThatIsStoredDuringAnObservationIsAcknowledged)
{
    m_options.requestTimeout = milliseconds(2'000);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    ASSERT_TRUE(waitUntil([this] { return m_store.refused(makeKey(taskKeyPrefix, taskName)); }));
    m_workers.delayNextObservationResponse(milliseconds(600));
    ASSERT_TRUE(waitUntil([this] { return !m_workers.observationDelayPending(); }));
    m_store.setAppendFault(FakeStore::AppendFault::None);
    ASSERT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_TRUE(waitUntil([this] { return m_workers.listedEnds("w1") == 0; }));
}

// Guards against the same, and against a second run at the same time elsewhere, if the directory shows the new
// incarnation before a list of runs does.
TEST_F(BatchTaskTest, DirectoryEntryOfTheNextIncarnationDoesNotEndARunThere)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    m_workers.restart("w1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    // The first observation after the start is in flight then.
    std::this_thread::sleep_for(shortOptions().observeWait / 4 + milliseconds(15));
    m_store.put(Stream::Directory, "w2", "ready");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_EQ(m_workers.starts(taskName), 1);
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a second run of a task beside a late start that the next incarnation of its worker executes.
TEST_F(BatchTaskTest, LateStartInTheNextIncarnationDoesNotRunATaskTwice)
{
    m_store.put(Stream::Directory, "w2", "draining");
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_workers.delayNextStart(milliseconds(400));
    submit(*task, makeJob());
    std::this_thread::sleep_for(milliseconds(30));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(600));
    EXPECT_FALSE(m_workers.ranTwice());
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against a second run beside a late start whose retry had been confirmed before the worker was restarted.
TEST_F(BatchTaskTest, LateStartWithAConfirmedRetryDoesNotRunATaskTwice)
{
    m_store.put(Stream::Directory, "w2", "draining");
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_workers.delayNextStart(milliseconds(600));
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    std::this_thread::sleep_for(milliseconds(600));
    EXPECT_FALSE(m_workers.ranTwice());
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against a second run beside a late start that only an earlier incarnation of the worker was told to refuse.
TEST_F(BatchTaskTest, StopAcknowledgedByAnEarlierIncarnationIsSentAgain)
{
    m_store.put(Stream::Directory, "w2", "draining");
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_workers.delayNextStart(milliseconds(1'000));
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.delayNextStopResponse(milliseconds(300));
    m_workers.restart("w1");
    // Longer than an observation, so that the run is being stopped on the second incarnation.
    std::this_thread::sleep_for(milliseconds(150));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    m_store.put(Stream::Directory, "w1", "ready incarnation=3");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    std::this_thread::sleep_for(milliseconds(800));
    EXPECT_FALSE(m_workers.ranTwice());
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against a second run beside a late start that a worker executes after a restart, when the stop of its run had
// been acknowledged and the task had started elsewhere.
TEST_F(BatchTaskTest, LateStartOfAStoppedRunInTheNextIncarnationDoesNotRunATaskTwice)
{
    // A retry would show the worker the run before its restart.
    m_options.startRetryLimit = milliseconds(0);
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_workers.delayNextStart(milliseconds(1'500));
    submit(*task, makeJob());
    std::this_thread::sleep_for(milliseconds(30));
    m_store.put(Stream::Directory, "w1", "draining");
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitUntil([this] { return workerOf(taskName) == "w2"; }));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    std::this_thread::sleep_for(milliseconds(1'700));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a job that never ends because its worker returns with a lower incarnation than it had, as after its
// time of day was set back: the leader would wait for the end of a run that has ended with the last incarnation.
TEST_F(BatchTaskTest, TaskOfAWorkerThatReturnsWithALowerIncarnationStartsAgain)
{
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.restartAfterClockStep("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=1");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_EQ(m_workers.starts(taskName), 2);
    EXPECT_FALSE(m_workers.ranTwice());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against the same while the directory still shows the last incarnation, and against a second run because its
// entry is taken for one of a later incarnation.
TEST_F(BatchTaskTest, EntryOfTheLastIncarnationDoesNotEndARunOfALowerOne)
{
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.restartAfterClockStep("w1");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    std::this_thread::sleep_for(milliseconds(200));
    // Each change of the directory passes all of its entries to the sessions.
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(m_workers.starts(taskName), 2);
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against requests without a pause to a worker that has returned with a lower incarnation.
TEST_F(BatchTaskTest, WorkerWithALowerIncarnationIsNotObservedWithoutAPause)
{
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.restartAfterClockStep("w1");
    // An end stays listed until it is acknowledged, so that no observation waits.
    m_workers.run("w1", "00000000000000bb.0.0.0", 1);
    m_workers.finish("w1", "00000000000000bb.0.0.0", EndedTask::Reason::Done);
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.resetObservations();
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_LE(m_workers.observations(), 20);
}

// Guards against a second run beside a late start that the next incarnation of a worker executes, when another worker
// answers an observation of the last incarnation late.
TEST_F(BatchTaskTest, LateResponseOfAnotherWorkerDoesNotEndARunOfTheNextIncarnation)
{
    m_store.put(Stream::Directory, "w2", "draining");
    m_options.startRetryLimit = milliseconds(0);
    auto task = startInstance("e-1");
    runFirstJob(*task);
    m_workers.delayNextStart(milliseconds(250));
    m_workers.answerNextObservationAsAnotherWorker(milliseconds(350));
    m_workers.dropStops(true);
    submit(*task, makeJob());
    // The first observation after the start is in flight then.
    ASSERT_TRUE(waitUntil([this] { return m_workers.answeredAsAnotherWorker(); }));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(400));
    m_workers.dropStops(false);
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_FALSE(m_workers.ranTwice());
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against leases of a new incarnation that end on the clock of an earlier one, far too late.
TEST_F(BatchTaskTest, LateResponseOfAnEarlierIncarnationDoesNotExtendLeases)
{
    auto task = startInstance("e-1");
    BatchJob cancelled = makeJob();
    cancelled.id = state::JobId("00000000000000bb");
    submit(*task, cancelled);
    ASSERT_TRUE(waitUntilRunning());
    m_workers.delayNextStopResponse(milliseconds(300));
    cancel(*task, cancelled.id);
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().empty(); }));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    // The late response has arrived then, and a lease that was requested before the restart was known has expired.
    std::this_thread::sleep_for(FakeWorkers::longestLease);
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    EXPECT_LE(m_workers.remainingLease("w1"), shortOptions().workerLease);
}

// Guards against a second run of a task that an incomplete list of a worker does not show.
TEST_F(BatchTaskTest, RunMissingFromAnIncompleteListIsNotLost)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.setListsCut(true);
    std::this_thread::sleep_for(milliseconds(300));
    m_workers.setListsCut(false);
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_EQ(m_workers.starts(taskName), 1);
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against acknowledging, and so losing, the ends of a new incarnation by the numbers of the earlier one.
TEST_F(BatchTaskTest, EndsOfANewIncarnationAreAcknowledgedByTheirOwnNumbers)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob(4));
    auto runAll = [&](const state::JobId& job, int tasks) {
        for (int index = 0; index < tasks; ++index) {
            std::string name = job.value() + ".0.0." + std::to_string(index);
            EXPECT_TRUE(waitUntil([&] { return m_workers.starts(name) > 0; })) << name;
            m_workers.finish("w1", name, EndedTask::Reason::Done);
            std::this_thread::sleep_for(milliseconds(30));
        }
        EXPECT_TRUE(waitUntil([&] { return query(*task, job).phase == BatchJobEntry::Phase::Completed; }));
    };
    runAll(jobId, 4);
    m_workers.restart("w1");
    BatchJob first = makeJob();
    first.id = state::JobId("00000000000000bb");
    submit(*task, first);
    std::this_thread::sleep_for(milliseconds(300));
    m_workers.finish("w1", first.id.value() + ".0.0.0", EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, first.id).phase == BatchJobEntry::Phase::Completed; }));
    BatchJob second = makeJob(4);
    second.id = state::JobId("00000000000000cc");
    submit(*task, second);
    runAll(second.id, 4);
    for (int index = 0; index < 4; ++index)
        EXPECT_EQ(m_workers.starts(second.id.value() + ".0.0." + std::to_string(index)), 1);
}

// Guards against a job that never ends because the directory shows an incarnation late that the leader has never had a
// response of, and that the living one with a lower number has already followed.
TEST_F(BatchTaskTest, LateDirectoryEntryOfAnUnseenIncarnationDoesNotHideTheLivingOne)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    // The third incarnation ends before the leader has a response of it, and the clock is set back.
    m_workers.restart("w1");
    m_workers.restart("w1");
    m_workers.restartAfterClockStep("w1");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_store.put(Stream::Directory, "w1", "ready incarnation=3");
    std::this_thread::sleep_for(milliseconds(100));
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    m_workers.resetObservations();
    std::this_thread::sleep_for(milliseconds(500));
    // At most a few observations, each of which waits for the end of a run.
    EXPECT_LT(m_workers.observations(), 20);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against a second run beside one on a new incarnation, whose lease a renewal meant for the clock of the last
// one has extended after the worker became unresponsive to the leader.
TEST_F(BatchTaskTest, RenewalExecutedLateByAnUnresponsiveWorkerExtendsTheLease)
{
    auto task = startInstance("e-1");
    // The leases of an earlier leader would have expired then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace);
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    milliseconds delay { 1'500 };
    auto executed = std::chrono::steady_clock::now() + delay;
    m_workers.delayNextRenewal(delay);
    ASSERT_TRUE(waitUntil([this] { return !m_workers.renewalDelayPending(); }));
    m_workers.restart("w1");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    // Earlier than the renewal, which is executed before the lease expires.
    std::this_thread::sleep_until(executed - milliseconds(600));
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 3; }, milliseconds(8'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a second run that a new leader starts beside one on an unresponsive worker, whose lease a renewal of
// the earlier leader has extended late, meant for the clock of the last incarnation.
TEST_F(BatchTaskTest, RenewalOfAnEarlierLeaderExecutedLateByTheNextIncarnationExtendsTheLease)
{
    auto first = startInstance("e-1");
    submit(*first, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto second = startInstance("e-2");
    // The leases of an earlier leader would have expired then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace);
    milliseconds delay { 1'500 };
    auto executed = std::chrono::steady_clock::now() + delay;
    m_workers.delayNextRenewal(delay);
    ASSERT_TRUE(waitUntil([this] { return !m_workers.renewalDelayPending(); }));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    // Earlier than the renewal, which is executed before the lease expires.
    std::this_thread::sleep_until(executed - milliseconds(600));
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    first->post({ .body = BatchMessage::Drain {} });
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 3; }, milliseconds(8'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

} // namespace lentilsaddle::coordination::batch
