#include "BatchTaskFixture.h"

#include <string>
#include <thread>
#include <tuple>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using std::chrono::milliseconds;
using Status = WorkerCallResult::Status;

namespace {

    constexpr const char* secondTaskName = "00000000000000aa.0.0.1";
    // Stops are repeated every requestRetryDelay.
    constexpr int manyStops = 10;
    // Longer than the longest lease of a run that an earlier leader may have renewed.
    constexpr milliseconds restartLimit { 8'000 };

    // A start that w1 executes without confirming it, and stops that it then refuses.
    class BatchRefusedStopTest : public BatchTaskTest {
    protected:
        // Submits the job when an instance leads, so that its first start is the one without a confirmation.
        void submitUnconfirmed(BatchTask& task, const BatchJob& job)
        {
            ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
            m_workers.executeNextStartUnconfirmed();
            ASSERT_EQ(submit(task, job), ChangeOutcome::Done);
            ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) + m_workers.starts(secondTaskName) > 0; }));
        }

        bool waitForRefusedStops()
        {
            int known = m_workers.refusedStops();
            return waitUntil([&] { return m_workers.refusedStops() >= known + manyStops; });
        }

        bool waitForSecondStart()
        {
            return waitUntil([this] { return m_workers.starts(taskName) == 2; }, restartLimit);
        }
    };

    // Status of the retried start, and of all stops.
    class RefusedRetryTest : public BatchRefusedStopTest,
                             public testing::WithParamInterface<std::tuple<Status, Status>> { };

    // Responses to all requests of a worker that has executed a start.
    class UnhealthyWorkerTest : public BatchRefusedStopTest,
                                public testing::WithParamInterface<FakeWorkers::Refusals> { };

} // namespace

// Guards against a second run beside one whose start was executed without a confirmation: neither the refusal of its
// retry nor those of its stops show that the run has ended.
TEST_P(RefusedRetryTest, TaskStartsElsewhereOnlyAfterItsStopWasExecuted)
{
    auto [retryStatus, stopStatus] = GetParam();
    m_workers.refuse("w1", { .start = retryStatus, .stop = stopStatus });
    // A list that shows the run would confirm its start, and nothing would be stopped.
    m_workers.setListsCut(true);
    auto task = startInstance("e-1");
    submitUnconfirmed(*task, makeJob());
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitForRefusedStops());
    m_workers.setListsCut(false);
    ASSERT_TRUE(waitForRefusedStops());
    EXPECT_EQ(m_workers.starts(taskName), 1);
    m_workers.refuse("w1", {});
    EXPECT_TRUE(waitForSecondStart());
    EXPECT_FALSE(m_workers.ranTwice());
}

INSTANTIATE_TEST_SUITE_P(Statuses, RefusedRetryTest,
    testing::Combine(testing::Values(Status::NotDelivered, Status::Unknown, Status::Invalid, Status::StaleRun,
                         Status::InsufficientCapacity, Status::LeaseExpired, Status::OtherIncarnation),
        testing::Values(Status::NotDelivered, Status::Unknown, Status::Invalid)));

// Guards against a second run beside one that the worker lists, because the retry of its start was refused.
TEST_F(BatchRefusedStopTest, ListedRunContinuesAlthoughItsRetriedStartIsRefused)
{
    m_workers.refuse("w1", { .start = Status::NotDelivered, .stop = Status::NotDelivered });
    auto task = startInstance("e-1");
    submitUnconfirmed(*task, makeJob());
    m_store.put(Stream::Directory, "w2", "ready");
    std::this_thread::sleep_for(2 * shortOptions().workerLease);
    EXPECT_EQ(m_workers.starts(taskName), 1);
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against a second run before the lease of the first one has expired, on a worker whose observations are refused
// or lost while it refuses the stops.
TEST_P(UnhealthyWorkerTest, TaskStartsElsewhereOnlyAfterItsLeaseHasExpired)
{
    m_workers.refuse("w1", { .start = Status::NotDelivered, .stop = Status::NotDelivered });
    m_workers.setListsCut(true);
    auto task = startInstance("e-1");
    submitUnconfirmed(*task, makeJob());
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitForRefusedStops());
    m_workers.refuse("w1", GetParam());
    EXPECT_TRUE(waitForSecondStart());
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against the same for a run whose start was confirmed.
TEST_P(UnhealthyWorkerTest, ConfirmedRunIsLostOnlyAfterItsLeaseHasExpired)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_store.put(Stream::Directory, "w2", "ready");
    m_workers.refuse("w1", GetParam());
    EXPECT_TRUE(waitForSecondStart());
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a new leader that takes the run for ended although it cannot observe the worker.
TEST_P(UnhealthyWorkerTest, NewLeaderStartsTheTaskElsewhereOnlyAfterItsLeaseHasExpired)
{
    m_workers.refuse("w1", { .start = Status::NotDelivered, .stop = Status::NotDelivered });
    m_workers.setListsCut(true);
    auto first = startInstance("e-1");
    submitUnconfirmed(*first, makeJob());
    auto second = startInstance("e-2");
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitForRefusedStops());
    m_workers.refuse("w1", GetParam());
    first.reset();
    EXPECT_TRUE(waitForSecondStart());
    EXPECT_FALSE(m_workers.ranTwice());
}

INSTANTIATE_TEST_SUITE_P(Refusals, UnhealthyWorkerTest,
    testing::Values(
        FakeWorkers::Refusals {
            .start = Status::NotDelivered, .stop = Status::NotDelivered, .observation = Status::NotDelivered },
        FakeWorkers::Refusals { .start = Status::NotDelivered, .stop = Status::Unknown, .loseObservations = true }));

// Guards against a new leader that starts the task elsewhere while the worker still runs it and refuses its stop.
TEST_F(BatchRefusedStopTest, NewLeaderDoesNotStartATaskWhoseStopWasRefused)
{
    m_workers.refuse("w1", { .start = Status::NotDelivered, .stop = Status::NotDelivered });
    m_workers.setListsCut(true);
    auto first = startInstance("e-1");
    submitUnconfirmed(*first, makeJob());
    auto second = startInstance("e-2");
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitForRefusedStops());
    first.reset();
    ASSERT_TRUE(waitUntil([this] {
        std::vector<std::string> records = leaderRecords();
        return !records.empty() && records.back().find("e-2") != std::string::npos;
    }));
    std::this_thread::sleep_for(shortOptions().workerLease);
    EXPECT_EQ(m_workers.starts(taskName), 1);
    m_workers.setListsCut(false);
    std::this_thread::sleep_for(shortOptions().workerLease);
    EXPECT_EQ(m_workers.starts(taskName), 1);
    EXPECT_EQ(m_workers.running().size(), 1U);
}

// Guards against a second run of a member of a gang whose stop is refused, while the other members are stopped.
TEST_F(BatchRefusedStopTest, GangStartsAgainOnlyAfterAllItsStopsWereExecuted)
{
    addWorkers(2);
    for (const char* worker : { "w1", "w2" })
        m_workers.refuse(worker, { .start = Status::Invalid, .stop = Status::NotDelivered });
    m_workers.setListsCut(true);
    auto task = startInstance("e-1");
    BatchJob job = makeJob(2);
    job.steps[0].gang = true;
    job.steps[0].resources.accelerators = 5;
    submitUnconfirmed(*task, job);
    addWorkers(4);
    ASSERT_TRUE(waitForRefusedStops());
    m_workers.setListsCut(false);
    ASSERT_TRUE(waitForRefusedStops());
    EXPECT_EQ(m_workers.starts(taskName) + m_workers.starts(secondTaskName), 1);
    EXPECT_EQ(m_workers.running().size(), 1U);
    m_workers.refuse("w1", {});
    m_workers.refuse("w2", {});
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }, restartLimit));
    EXPECT_FALSE(m_workers.ranTwice());
}

} // namespace lentilsaddle::coordination::batch
