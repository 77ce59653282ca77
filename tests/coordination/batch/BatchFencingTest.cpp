#include "BatchTaskFixture.h"

#include <chrono>
#include <thread>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using std::chrono::milliseconds;

// Guards against a completed task that runs again, because a start without a response reaches the worker after a crash,
// when the worker has forgotten the run.
TEST_F(BatchTaskTest, LateStartInTheNextIncarnationDoesNotRunACompletedTaskAgain)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    milliseconds delay { 800 };
    m_workers.delayNextStart(delay);
    submit(*task, makeJob());
    auto executed = std::chrono::steady_clock::now() + delay;
    // The start has been repeated.
    ASSERT_TRUE(waitUntilRunning());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    ASSERT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    ASSERT_TRUE(waitUntil([this] { return m_workers.acknowledged("w1") == 1; }));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    std::this_thread::sleep_until(executed + milliseconds(300));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against the same after the worker has been removed from the directory and listed again, so that the leader has
// begun a new session with it.
TEST_F(BatchTaskTest, LateStartAfterTheWorkerIsListedAgainDoesNotRunACompletedTaskAgain)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    milliseconds delay { 1'200 };
    m_workers.delayNextStart(delay);
    submit(*task, makeJob());
    auto executed = std::chrono::steady_clock::now() + delay;
    ASSERT_TRUE(waitUntilRunning());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    ASSERT_TRUE(waitUntil([this] { return m_workers.acknowledged("w1") == 1; }));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", std::nullopt);
    letTheLeaderAct();
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    std::this_thread::sleep_until(executed + milliseconds(300));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against a leader that steps down because a worker refuses a request that was sent before its restart was
// known, with a lower token of the same leader.
TEST_F(BatchTaskTest, RefusalOfALateRequestDoesNotEndTheLeadership)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    for (int restart = 0; restart < 3; ++restart) {
        // A restart is attributed to a run that no list has shown.
        ASSERT_TRUE(waitUntil([this] { return m_workers.runListed("w1", taskName); }));
        m_workers.delayNextStopResponse(milliseconds(50));
        m_workers.restart("w1");
        EXPECT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == restart + 2; }));
    }
    EXPECT_NE(m_metrics.render().find("lentilsaddle_batch_terms_total 1\n"), std::string::npos);
}

// Guards against an end that is lost, and a completed task that runs again, because a late request with the number of
// an earlier incarnation's end acknowledges the end of the next one before the leader has seen it.
TEST_F(BatchTaskTest, LateAcknowledgementForAnEarlierIncarnationLosesNoEnd)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    BatchJob other = makeJob();
    other.id = state::JobId("00000000000000bb");
    submit(*task, other);
    ASSERT_TRUE(waitUntilRunning());
    milliseconds delay { 800 };
    m_workers.delayNextRenewal(delay);
    ASSERT_TRUE(waitUntil([this] { return !m_workers.renewalDelayPending(); }));
    auto executed = std::chrono::steady_clock::now() + delay;
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts("00000000000000bb.0.0.0") == 2; }));
    // Longer than an observation, so that a list has shown the run.
    std::this_thread::sleep_for(milliseconds(200));
    m_workers.refuse("w1", { .loseObservations = true });
    m_workers.finish("w1", "00000000000000bb.0.0.0", EndedTask::Reason::Done);
    std::this_thread::sleep_until(executed + milliseconds(100));
    m_workers.refuse("w1", {});
    EXPECT_TRUE(waitUntil([&] { return query(*task, other.id).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_EQ(m_workers.starts("00000000000000bb.0.0.0"), 2);
}

// Guards against a second run beside one on a new incarnation, whose lease a late renewal opened before the incarnation
// had seen a request of its own: the renewal was meant for the clock of the last incarnation, so that it is shortened
// only to the longest lease. Another leader has followed, which knows nothing of the restart.
TEST_F(BatchTaskTest, NewLeaderCountsALeaseForTheClockOfAnEarlierIncarnation)
{
    // The lease that the new leader would compute without it ends before the longest one.
    m_options.renewalGrace = milliseconds(100);
    m_options.leaseMargin = milliseconds(0);
    auto first = startInstance("e-1");
    submit(*first, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto second = startInstance("e-2");
    // The deadline of the renewal on the first clock is beyond the longest lease on the next one.
    std::this_thread::sleep_for(2 * FakeWorkers::longestLease);
    m_workers.delayNextRenewalUntilRestart();
    ASSERT_TRUE(waitUntil([this] { return m_workers.renewalWaitsForRestart(); }));
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    m_workers.makeUnreachable("w1");
    m_store.put(Stream::Directory, "w2", "ready");
    first->post({ .body = BatchMessage::Drain {} });
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 3; }, milliseconds(8'000)));
    EXPECT_FALSE(m_workers.ranTwice());
}

} // namespace lentilsaddle::coordination::batch
