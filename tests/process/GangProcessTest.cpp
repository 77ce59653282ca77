#include "tests/process/ProcessTest.h"

#include <algorithm>
#include <future>
#include <vector>

namespace lentilsaddle::testing_support {

using nlohmann::json;

namespace {

    const std::string sixSecondPayload = R"({"run_ms":6000})";

    class GangProcessTest : public ProcessTest {
    protected:
        GangProcessTest()
            : ProcessTest({ .entriesPerDataCentre = 3 })
        {
        }

        void SetUp() override
        {
            ProcessTest::SetUp();
            if (HasFatalFailure())
                return;
            ASSERT_GE(waitForScheduler(0), 0);
        }

        int instanceOtherThan(int entry) const { return (entry + 1) % m_harness.entryCount(); }

        /// Repeats a submission until it is accepted: during a failover of the scheduler it may be refused or time out.
        void submitUntilAccepted(int entry, const std::string& id, int tasks, const json& changes = {}) const
        {
            ProcessHarness::waitUntil(
                id + " is accepted", [&] { return submit(entry, id, tasks, changes).status == 202; });
        }
    };

} // namespace

// Guards against a gang that starts in part, twice or over several racks.
TEST_F(GangProcessTest, GangRunsOnceInOneRack)
{
    EXPECT_EQ(submit(0, "gang", 16).status, 202);
    ASSERT_TRUE(waitForJob(1, "gang", "done"));
    expectRanOnce("gang", 16);
    EXPECT_EQ(attempts("gang").size(), 1U);
}

// Guards against jobs that share accelerators or are lost when many are submitted concurrently at all instances.
TEST_F(GangProcessTest, BurstRunsEachJobOnce)
{
    constexpr int jobs = 24;
    std::vector<std::future<void>> submissions;
    submissions.reserve(jobs);
    for (int i = 0; i < jobs; ++i)
        submissions.push_back(std::async(std::launch::async,
            [this, i] { EXPECT_EQ(submit(i % 3, "burst-" + std::to_string(i), 1 + i % 16).status, 202); }));
    for (auto& submission : submissions)
        submission.get();
    for (int i = 0; i < jobs; ++i) {
        std::string id = "burst-" + std::to_string(i);
        ASSERT_TRUE(waitForJob(0, id, "done"));
        expectRanOnce(id, 1 + i % 16);
    }
}

// Guards against a gang that is started twice or lost when the scheduler is killed while the gang runs.
TEST_F(GangProcessTest, RunningGangSurvivesAKillOfTheScheduler)
{
    int scheduler = waitForScheduler(0);
    int observer = instanceOtherThan(scheduler);
    EXPECT_EQ(submit(observer, "gang", 16, { { "payload", sixSecondPayload }, { "repeatable", false } }).status, 202);
    ASSERT_TRUE(waitForGang("gang", 16));
    m_harness.entry(scheduler).kill();
    EXPECT_GE(waitForScheduler(observer, scheduler), 0);
    ASSERT_TRUE(waitForJob(observer, "gang", "done"));
    expectRanOnce("gang", 16);
    EXPECT_EQ(attempts("gang").size(), 1U);
    submitUntilAccepted(observer, "after", 8);
    ASSERT_TRUE(waitForJob(observer, "after", "done"));
    expectRanOnce("after", 8);
}

// Guards against a paused scheduler that keeps starting tasks after a failover to another instance.
TEST_F(GangProcessTest, PausedSchedulerStartsNothingAfterItIsResumed)
{
    int scheduler = waitForScheduler(0);
    int observer = instanceOtherThan(scheduler);
    EXPECT_EQ(submit(observer, "gang", 16, { { "payload", sixSecondPayload } }).status, 202);
    ASSERT_TRUE(waitForGang("gang", 16));
    m_harness.entry(scheduler).pause();
    EXPECT_GE(waitForScheduler(observer, scheduler), 0);
    submitUntilAccepted(observer, "during", 8);
    m_harness.entry(scheduler).resume();
    for (int i = 0; i < 8; ++i)
        submitUntilAccepted(i % 2 == 0 ? observer : scheduler, "after-" + std::to_string(i), 8);
    for (const std::string& id : { std::string("gang"), std::string("during") })
        ASSERT_TRUE(waitForJob(observer, id, "done"));
    expectRanOnce("gang", 16);
    expectRanOnce("during", 8);
    for (int i = 0; i < 8; ++i) {
        ASSERT_TRUE(waitForJob(observer, "after-" + std::to_string(i), "done"));
        expectRanOnce("after-" + std::to_string(i), 8);
    }
}

// Guards against a planned failover that stops a running gang or starts it twice.
TEST_F(GangProcessTest, PlannedStopOfTheSchedulerKeepsTheGang)
{
    int scheduler = waitForScheduler(0);
    int observer = instanceOtherThan(scheduler);
    EXPECT_EQ(submit(observer, "gang", 16, { { "payload", sixSecondPayload } }).status, 202);
    ASSERT_TRUE(waitForGang("gang", 16));
    m_harness.entry(scheduler).terminate();
    m_harness.waitUntil("the scheduler ends", [&] { return m_harness.entry(scheduler).ended(); });
    EXPECT_EQ(m_harness.entry(scheduler).exitCode(), 0);
    ASSERT_TRUE(waitForJob(observer, "gang", "done"));
    expectRanOnce("gang", 16);
    EXPECT_EQ(attempts("gang").size(), 1U);
}

// Guards against a gang that keeps running in part when one of its workers fails, and against retries on that worker.
TEST_F(GangProcessTest, WorkerThatFailsEveryStartDoesNotSplitAGang)
{
    m_harness.controlWorkers(0, { { "worker", "norte-ovi-0000" }, { "fail_starts", true } });
    EXPECT_EQ(submit(0, "gang", 16, { { "payload", R"({"run_ms":4000})" } }).status, 202);
    ASSERT_TRUE(waitForJob(0, "gang", "done"));
    expectRanOnce("gang", 16);
}

// Guards against a partial start when a worker refuses its lease.
TEST_F(GangProcessTest, RefusedLeaseStartsNothing)
{
    m_harness.controlWorkers(0, { { "worker", "norte-ovi-0003" }, { "refuse_leases", true } });
    EXPECT_EQ(submit(0, "all", 64).status, 202);
    m_harness.waitUntil("the lease was refused", [this] { return job(0, "all").value("attempts", 0) > 0; });
    EXPECT_TRUE(m_harness.workerJournal().empty()) << m_harness.workerJournal().dump();
    m_harness.controlWorkers(0, { { "worker", "norte-ovi-0003" }, { "refuse_leases", false } });
    ASSERT_TRUE(waitForJob(0, "all", "done"));
    expectRanOnce("all", 64);
}

// Guards against a job that is retried forever, or whose accelerators stay allocated, when each attempt fails.
TEST_F(GangProcessTest, JobThatAlwaysFailsEnds)
{
    EXPECT_EQ(submit(0, "bad", 8, { { "payload", R"({"run_ms":100,"fail":true})" } }).status, 202);
    ASSERT_TRUE(waitForJob(0, "bad", "failed"));
    auto all = attempts("bad");
    EXPECT_LE(all.size(), 3U);
    for (const auto& [number, attempt] : all)
        EXPECT_EQ(attempt.running, 0);
    EXPECT_EQ(submit(0, "all", 64).status, 202);
    EXPECT_TRUE(waitForJob(0, "all", "done"));
}

// Guards against a cancelled job that keeps its accelerators.
TEST_F(GangProcessTest, CancelledGangStopsOnAllWorkers)
{
    EXPECT_EQ(submit(0, "gang", 16, { { "payload", R"({"run_ms":600000})" } }).status, 202);
    ASSERT_TRUE(waitForGang("gang", 16));
    EXPECT_EQ(m_harness.call(1, { .method = "DELETE", .path = "/v1/jobs/gang" }).status, 202);
    ASSERT_TRUE(waitForJob(0, "gang", "cancelled"));
    m_harness.waitUntil("no task runs", [this] { return attempts("gang")[1].running == 0; });
    EXPECT_EQ(attempts("gang").size(), 1U);
}

// Guards against a job that runs twice when responses to the appends of its records are lost.
TEST_F(GangProcessTest, LostAppendResponsesDoNotDuplicateAJob)
{
    m_harness.controlPlatform({ { "stream", "jobs.norte-ovi" }, { "lose_append_answers", 3 } });
    submitUntilAccepted(0, "gang", 16);
    ASSERT_TRUE(waitForJob(0, "gang", "done"));
    expectRanOnce("gang", 16);
    EXPECT_EQ(attempts("gang").size(), 1U);
}

// Guards against a guarantee that cannot be reclaimed, and against preempting more jobs than the requested shape needs.
TEST_F(GangProcessTest, UrgentJobReclaimsItsGuaranteeFromABorrower)
{
    json guarantee { { "data_centre", "norte-ovi" }, { "accelerators", 32 }, { "adjacency", "rack" } };
    ASSERT_EQ(
        patch(0, "guarantee", 1, { { "accounts", { { "shops", { { "guarantees", { guarantee } } } } } } }).status, 200);
    json borrower { { "account", "overnight" }, { "payload", R"({"run_ms":600000})" } };
    for (const std::string id : { "borrower-1", "borrower-2" }) {
        ASSERT_EQ(submit(0, id, 32, borrower).status, 202);
        ASSERT_TRUE(waitForGang(id, 32));
    }
    ASSERT_EQ(submit(0, "urgent", 32, { { "account", "shops" }, { "urgent", true } }).status, 202);
    ASSERT_TRUE(waitForJob(0, "urgent", "done"));
    expectRanOnce("urgent", 32);
    // One borrower was never preempted; the other one restarted on the capacity that the urgent job released.
    ASSERT_TRUE(waitForGang("borrower-1", 32));
    ASSERT_TRUE(waitForGang("borrower-2", 32));
    EXPECT_EQ(attempts("borrower-1").size() + attempts("borrower-2").size(), 3U);
}

// Guards against a gang that loses its leases because the log is unavailable.
TEST_F(GangProcessTest, RunningGangSurvivesALogOutage)
{
    EXPECT_EQ(submit(0, "gang", 16, { { "payload", sixSecondPayload } }).status, 202);
    ASSERT_TRUE(waitForGang("gang", 16));
    m_harness.controlPlatform({ { "outage", "drop" } });
    m_harness.waitUntil("the gang ends", [this] { return attempts("gang")[1].running == 0; });
    m_harness.controlPlatform({ { "outage", "none" } });
    ASSERT_TRUE(waitForJob(0, "gang", "done"));
    expectRanOnce("gang", 16);
}

} // namespace lentilsaddle::testing_support
