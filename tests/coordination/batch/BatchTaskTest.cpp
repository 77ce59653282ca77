#include "coordination/batch/BatchTask.h"

#include "FakeStore.h"
#include "FakeWorkers.h"
#include "coordination/batch/JournalKeys.h"
#include "protocol/batch/BatchRecordCodec.h"
#include "tests/coordination/TestEnvironment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string_view>
#include <thread>

namespace lentilsaddle::coordination::batch {

namespace {

    using state::batch::BatchConfiguration;
    using state::batch::BatchJob;
    using state::batch::BatchJobEntry;
    using state::batch::BatchTaskState;
    using state::batch::BatchWorker;
    using std::chrono::milliseconds;

    const state::JobId jobId { "00000000000000aa" };
    constexpr const char* taskName = "00000000000000aa.0.0.0";
    // Words in the directory entry of a worker.
    constexpr std::string_view acceleratorsPrefix = "accelerators=";
    constexpr std::string_view addressPrefix = "address=";
    constexpr std::string_view incarnationPrefix = "incarnation=";

    // Short limits, in the proportions of the defaults.
    BatchOptions shortOptions()
    {
        BatchOptions options;
        options.leaderLease = milliseconds(300);
        options.renewalGrace = milliseconds(1'000);
        options.failoverDelay = milliseconds(450);
        options.claimJitter = milliseconds(20);
        options.heartbeatInterval = milliseconds(100);
        options.appendTimeout = milliseconds(100);
        options.submitTimeout = milliseconds(100);
        options.journalWait = milliseconds(50);
        options.directoryWait = milliseconds(50);
        options.directoryReadInterval = milliseconds(40);
        options.readTimeout = milliseconds(100);
        options.storeRetryDelay = milliseconds(10);
        options.staleAfter = milliseconds(250);
        options.directoryStaleAfter = milliseconds(250);
        options.workerLease = milliseconds(900);
        options.longestWorkerLease = FakeWorkers::longestLease;
        options.observeWait = milliseconds(100);
        options.requestTimeout = milliseconds(80);
        options.requestRetryDelay = milliseconds(20);
        options.startTimeout = milliseconds(60);
        options.startRetryLimit = milliseconds(200);
        options.stopGrace = milliseconds(50);
        options.refusalBackoff = milliseconds(50);
        options.directoryReadInterval = milliseconds(20);
        options.planRefreshInterval = milliseconds(30);
        options.lookupTimeout = milliseconds(60);
        return options;
    }

    BatchJob makeJob(int tasks = 1)
    {
        return {
            .id = jobId,
            .queue = { .name = "q", .service = state::ServiceId("s"), .maximumAttempts = 2 },
            .payload = "text",
            .steps = { { .taskCount = tasks, .resources = { .milliCores = 1, .accelerators = 1 } } },
        };
    }

    bool waitUntil(const std::function<bool()>& condition, milliseconds limit = milliseconds(5'000))
    {
        auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            std::this_thread::sleep_for(milliseconds(5));
        }
        return condition();
    }

    class BatchTaskTest : public testing::Test {
    protected:
        BatchTaskTest()
        {
            m_store.put(Stream::Configuration, "config", "1");
            m_store.put(Stream::Directory, "w1", "ready");
        }

        std::unique_ptr<BatchTask> startInstance(const std::string& name, int processors = 0)
        {
            BatchOptions options = m_options;
            options.processors = processors;
            TaskEnvironment environment = makeTestEnvironment(name, m_metrics);
            environment.incarnation = ++m_incarnation;
            // Claims of several instances must differ in their sequence numbers, as in the daemon.
            environment.random = [engine = std::make_shared<std::mt19937_64>(m_incarnation)] { return (*engine)(); };
            environment.monotonicClock = [this] { return std::chrono::steady_clock::now() + m_clockOffset.load(); };
            auto task = std::make_unique<BatchTask>(environment, options,
                BatchTask::Hooks {
                    .connect = [this](transport::EventLoop& loop) { return platformFor(loop); },
                    .onConfiguration =
                        [this](const std::shared_ptr<const BatchConfiguration>& configuration) {
                            m_configurationVersion = configuration->version;
                        },
                    .onReadiness = [this](bool ready) { m_ready = ready; },
                });
            task->start();
            return task;
        }

        BatchPlatform platformFor(transport::EventLoop& loop)
        {
            return {
                .journal = m_store.hooksFor(loop),
                .worker = m_workers.hooksFor(loop),
                // An entry is its state, followed by what differs from the default.
                .decodeWorker =
                    [](const std::string& key, const std::string& value) {
                        BatchWorker worker {
                            .id = state::WorkerId(key),
                            .service = state::ServiceId("s"),
                            .address = key,
                            .capacity = { .milliCores = 8, .memoryMegabytes = 8, .accelerators = 8 },
                            .incarnation = 1,
                        };
                        std::istringstream words(value);
                        for (std::string word; words >> word;) {
                            if (word == "draining")
                                worker.draining = true;
                            else if (word.starts_with(acceleratorsPrefix))
                                worker.capacity.accelerators = std::stoll(word.substr(acceleratorsPrefix.size()));
                            else if (word.starts_with(addressPrefix))
                                worker.address = word.substr(addressPrefix.size());
                            else if (word.starts_with(incarnationPrefix))
                                worker.incarnation = std::stoll(word.substr(incarnationPrefix.size()));
                        }
                        return std::optional(worker);
                    },
                .decodeConfiguration =
                    [this](const std::string&, const std::string& value) {
                        ++m_decodedConfigurations;
                        return std::optional(BatchConfiguration { .version = std::stoul(value) });
                    },
                .owner = nullptr,
            };
        }

        static ChangeOutcome submit(BatchTask& task, const BatchJob& job)
        {
            auto outcome = std::make_shared<std::promise<ChangeOutcome>>();
            task.post({ .body = BatchMessage::Submit {
                            .job = job, .reply = [outcome](ChangeOutcome value) { outcome->set_value(value); } } });
            return outcome->get_future().get();
        }

        static ChangeOutcome cancel(BatchTask& task, const state::JobId& job)
        {
            auto outcome = std::make_shared<std::promise<ChangeOutcome>>();
            task.post({ .body = BatchMessage::Cancel {
                            .job = job, .reply = [outcome](ChangeOutcome value) { outcome->set_value(value); } } });
            return outcome->get_future().get();
        }

        static BatchMessage::QueryResult query(BatchTask& task, const state::JobId& job)
        {
            auto result = std::make_shared<std::promise<BatchMessage::QueryResult>>();
            task.post({ .body = BatchMessage::Query { .job = job,
                            .reply = [result](BatchMessage::QueryResult value) { result->set_value(value); } } });
            return result->get_future().get();
        }

        /// Lists the workers `w1` to `wN` in the directory.
        void addWorkers(int count)
        {
            for (int number = 1; number <= count; ++number)
                m_store.put(Stream::Directory, "w" + std::to_string(number), "ready");
        }

        std::vector<std::string> leaderRecords()
        {
            std::vector<std::string> values;
            for (const KeyedRecord& record : m_store.records(Stream::Journal)) {
                if (record.key == leaderKey)
                    values.push_back(*record.value);
            }
            return values;
        }

        std::ptrdiff_t announcements()
        {
            return std::ranges::count_if(m_store.records(Stream::Journal),
                [](const KeyedRecord& record) { return record.key.starts_with(instanceKeyPrefix); });
        }

        void setAccelerators(const std::string& worker, int accelerators)
        {
            m_store.put(Stream::Directory, worker, std::string(acceleratorsPrefix) + std::to_string(accelerators));
        }

        // Makes the leader claim the job's tasks while the store refuses appends, so that the claims stay unconfirmed.
        // The workers must have no capacity before.
        void holdClaims(BatchTask& task, const BatchJob& job, const std::map<std::string, int>& accelerators)
        {
            ASSERT_EQ(submit(task, job), ChangeOutcome::Done);
            ASSERT_TRUE(waitUntil([this] { return m_workers.observations() > 0; }));
            m_store.setAppendFault(FakeStore::AppendFault::Refuse);
            for (const auto& [worker, count] : accelerators)
                setAccelerators(worker, count);
            std::string prefix = makeKey(taskKeyPrefix, job.id.value());
            ASSERT_TRUE(waitUntil([&] { return m_store.refused(prefix); }));
        }

        // Longer than the leader needs to read the directory and to plan.
        static void letTheLeaderAct() { std::this_thread::sleep_for(milliseconds(250)); }

        static void letTheDirectoryBecomeStale()
        {
            std::this_thread::sleep_for(shortOptions().directoryStaleAfter + milliseconds(50));
        }

        bool waitUntilRunning()
        {
            return waitUntil([this] { return m_workers.running().size() == 1; });
        }

        // Runs another job on w1 to its end, so that the worker has responded a moment ago and has no runs.
        void runFirstJob(BatchTask& task)
        {
            BatchJob job = makeJob();
            job.id = state::JobId("00000000000000ee");
            submit(task, job);
            ASSERT_TRUE(waitUntilRunning());
            m_workers.finish("w1", "00000000000000ee.0.0.0", EndedTask::Reason::Done);
            ASSERT_TRUE(waitUntil([this] { return m_workers.acknowledged("w1") == 1; }));
        }

        // Stores a job whose task an earlier leader has claimed for a run on the first incarnation of w1.
        void storeClaim()
        {
            m_store.put(Stream::Journal, makeKey(jobKeyPrefix, jobId.value()), protocol::batch::encodeJob(makeJob()));
            BatchTaskState claimed {
                .phase = BatchTaskState::Phase::Claimed,
                .run = 1,
                .worker = state::WorkerId("w1"),
                .workerIncarnation = 1,
            };
            m_store.put(Stream::Journal, makeKey(taskKeyPrefix, taskName), protocol::batch::encodeTaskState(claimed));
        }

        /// Options of the instances that are started next.
        BatchOptions m_options = shortOptions();
        transport::Metrics m_metrics;
        FakeStore m_store;
        FakeWorkers m_workers;
        std::atomic<bool> m_ready = false;
        std::uint64_t m_incarnation = 10;
        /// Added to the clocks of all instances, as after a suspension of an entry instance.
        std::atomic<milliseconds> m_clockOffset { milliseconds(0) };
        std::atomic<int> m_decodedConfigurations = 0;
        std::atomic<std::uint64_t> m_configurationVersion = 0;
    };

} // namespace

TEST_F(BatchTaskTest, JobRunsOnceAndIsReportedAsCompleted)
{
    auto task = startInstance("e-1");
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntilRunning());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against an acknowledgement of a job that is not stored.
TEST_F(BatchTaskTest, AcknowledgedJobIsInTheJournal)
{
    auto task = startInstance("e-1");
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    bool stored = false;
    for (const KeyedRecord& record : m_store.records(Stream::Journal))
        stored = stored || record.key == makeKey(jobKeyPrefix, jobId.value());
    EXPECT_TRUE(stored);
}

// Guards against reporting "not run" for a retried submission whose first attempt may still take effect.
TEST_F(BatchTaskTest, RefusedRetryOfASubmissionWithoutResponseIsReportedAsUnknown)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_store.setAppendFault(FakeStore::AppendFault::Drop);
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Unknown);
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Unknown);
    std::this_thread::sleep_for(shortOptions().storeSuspicionTime + milliseconds(100));
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Unknown);
    BatchJob other = makeJob();
    other.id = state::JobId("00000000000000bb");
    EXPECT_EQ(submit(*task, other), ChangeOutcome::Refused);
}

// Guards against delaying clients until a change times out although reads have shown that the store is unreachable.
TEST_F(BatchTaskTest, SubmissionIsRefusedAtOnceWhileTheJournalCannotBeRead)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_store.setAppendFault(FakeStore::AppendFault::Drop);
    m_store.setUnresponsive(true);
    std::this_thread::sleep_for(shortOptions().journalWait + shortOptions().readTimeout + milliseconds(100));
    auto before = std::chrono::steady_clock::now();
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Refused);
    EXPECT_LT(std::chrono::steady_clock::now() - before, shortOptions().submitTimeout);
}

// Guards against reporting "not run" for a submission that was stored although its response was lost.
TEST_F(BatchTaskTest, LostStoreResponseIsReportedAsUnknownAndCreatesOneJob)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_store.setAppendFault(FakeStore::AppendFault::LoseResponse);
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Unknown);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntilRunning());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against a job that runs although its submission was refused.
TEST_F(BatchTaskTest, RefusedSubmissionNeverRuns)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Refused);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_EQ(m_workers.starts(taskName), 0);
    EXPECT_TRUE(query(*task, jobId).noSuchJob);
}

// Guards against an end that the worker discards before it is stored.
TEST_F(BatchTaskTest, EndIsStoredBeforeItIsAcknowledged)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    std::this_thread::sleep_for(milliseconds(150));
    EXPECT_EQ(m_workers.acknowledged("w1"), 0);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_TRUE(waitUntil([&] { return m_workers.acknowledged("w1") == 1; }));
}

// Guards against a completed gang that is queued again, behind the record of its completion, because another member is
// lost while that record is being stored.
TEST_F(BatchTaskTest, MemberLostWhileTheCompletionIsStoredDoesNotQueueTheGangAgain)
{
    auto task = startInstance("e-1");
    BatchJob job = makeJob(2);
    job.steps[0].gang = true;
    submit(*task, job);
    ASSERT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
    // Longer than an observation, so that a list has shown the runs.
    std::this_thread::sleep_for(milliseconds(200));
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    std::this_thread::sleep_for(milliseconds(50));
    m_workers.restart("w1");
    std::this_thread::sleep_for(milliseconds(100));
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against a start after a run has ended as done, while the record of its completion is being stored.
TEST_F(BatchTaskTest, TaskIsNotStartedWhileItsCompletionIsStored)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.makeUnreachable("w1");
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    // The run is lost and its task queued then.
    std::this_thread::sleep_for(shortOptions().workerLease + shortOptions().renewalGrace + milliseconds(700));
    m_store.setAppendDelay(milliseconds(60));
    m_workers.makeReachable("w1");
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against a later run that goes on, or whose start is retried, after an earlier run has ended as done.
TEST_F(BatchTaskTest, LaterRunOfACompletedTaskIsStopped)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_workers.makeUnreachable("w1");
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    m_store.put(Stream::Directory, "w2", "ready");
    ASSERT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 2; }));
    m_workers.makeReachable("w1");
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().empty(); }));
    EXPECT_EQ(m_workers.starts(taskName), 2);
}

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

// Guards against work lost to leases that expire during an outage of the store.
TEST_F(BatchTaskTest, LeasesAreRenewedThroughAnOutageOfTheStore)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    std::this_thread::sleep_for(milliseconds(1'500));
    EXPECT_GT(m_workers.remainingLease("w1"), milliseconds(0));
}

// Guards against delaying one caller after the other while the store is unresponsive.
TEST_F(BatchTaskTest, SubmissionIsRefusedAtOnceAfterAnUnconfirmedChange)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_store.setUnresponsive(true);
    m_store.setAppendFault(FakeStore::AppendFault::LoseResponse);
    // Sent before the reads have shown that the store is unresponsive.
    EXPECT_EQ(submit(*task, makeJob()), ChangeOutcome::Unknown);
    auto begin = std::chrono::steady_clock::now();
    BatchJob other = makeJob();
    other.id = state::JobId("00000000000000bb");
    EXPECT_EQ(submit(*task, other), ChangeOutcome::Refused);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(50));
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

// Guards against requests of a leader whose entry instance was suspended for longer than its lease.
TEST_F(BatchTaskTest, SuspendedLeaderSendsNoRequestBeforeTheStoreConfirmsItsTerm)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    m_clockOffset = milliseconds(10'000);
    std::this_thread::sleep_for(milliseconds(150));
    m_workers.resetObservations();
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_EQ(m_workers.observations(), 0);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([this] { return m_workers.observations() > 0; }));
}

// Guards against two leaders when several instances start at the same time.
TEST_F(BatchTaskTest, OneOfSeveralInstancesThatStartTogetherLeads)
{
    std::vector<std::unique_ptr<BatchTask>> tasks;
    for (const char* name : { "e-1", "e-2", "e-3", "e-4" })
        tasks.push_back(startInstance(name));
    submit(*tasks.front(), makeJob());
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(600));
    std::set<std::string> leaders;
    for (const KeyedRecord& record : m_store.records(Stream::Journal)) {
        if (record.key == leaderKey)
            leaders.insert(*record.value);
    }
    EXPECT_EQ(leaders.size(), 1U);
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against a leader with too few processors for its work while another instance has announced more.
TEST_F(BatchTaskTest, InstanceWithMostProcessorsLeads)
{
    // No instance may lead without a configuration, so all announce themselves before the first claim.
    m_store.put(Stream::Configuration, "config", std::nullopt);
    std::vector<std::unique_ptr<BatchTask>> tasks;
    tasks.push_back(startInstance("e-1", 120));
    tasks.push_back(startInstance("e-2", 500));
    tasks.push_back(startInstance("e-3", 120));
    ASSERT_TRUE(waitUntil([this] { return announcements() == 3; }));
    EXPECT_TRUE(leaderRecords().empty());
    m_store.put(Stream::Configuration, "config", "1");
    submit(*tasks.front(), makeJob());
    ASSERT_TRUE(waitUntilRunning());
    EXPECT_FALSE(leaderRecords().empty());
    for (const std::string& record : leaderRecords())
        EXPECT_NE(record.find("e-2"), std::string::npos) << record;
}

// Guards against an instance with few processors that leads permanently because it claimed before another instance,
// started at the same time, had announced more.
TEST_F(BatchTaskTest, InstanceWithMostProcessorsLeadsInTheEndIfInstancesStartTogether)
{
    std::vector<std::unique_ptr<BatchTask>> tasks;
    tasks.push_back(startInstance("e-1", 120));
    tasks.push_back(startInstance("e-2", 500));
    tasks.push_back(startInstance("e-3", 120));
    submit(*tasks.front(), makeJob());
    EXPECT_TRUE(waitUntil([this] {
        std::vector<std::string> records = leaderRecords();
        return !records.empty() && records.back().find("e-2") != std::string::npos;
    }));
    ASSERT_TRUE(waitUntilRunning());
    std::size_t known = leaderRecords().size();
    std::this_thread::sleep_for(shortOptions().failoverDelay);
    std::vector<std::string> records = leaderRecords();
    EXPECT_GT(records.size(), known);
    for (std::size_t index = known; index < records.size(); ++index)
        EXPECT_NE(records[index].find("e-2"), std::string::npos) << records[index];
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against an instance with few processors that leads permanently because those with more were not running when
// it claimed.
TEST_F(BatchTaskTest, LeaderStepsDownForAnInstanceWithMoreProcessors)
{
    auto small = startInstance("e-1", 120);
    submit(*small, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto large = startInstance("e-2", 500);
    EXPECT_TRUE(waitUntil([this] {
        bool largeLeads = false;
        for (const KeyedRecord& record : m_store.records(Stream::Journal))
            largeLeads = largeLeads || (record.key == leaderKey && record.value->find("e-2") != std::string::npos);
        return largeLeads;
    }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against an instance with few processors that leads permanently because one with more announced itself before
// the lease of the claimant was confirmed.
TEST_F(BatchTaskTest, LeaderStepsDownForAnInstanceAnnouncedBeforeItsLeaseWasConfirmed)
{
    m_store.setAppendFault(FakeStore::AppendFault::LoseResponse);
    auto small = startInstance("e-1", 120);
    ASSERT_TRUE(waitUntil([this] { return !leaderRecords().empty(); }));
    auto large = startInstance("e-2", 500);
    // At its start, and as a request for the leadership of the term that it has read.
    ASSERT_TRUE(waitUntil([this] { return announcements() >= 3; }));
    std::this_thread::sleep_for(2 * shortOptions().appendTimeout);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([this] { return leaderRecords().back().find("e-2") != std::string::npos; }));
}

// Guards against a new leader that restarts a task although it still runs, or never observes it.
TEST_F(BatchTaskTest, NewLeaderAdoptsRunningTasks)
{
    auto first = startInstance("e-1");
    submit(*first, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto second = startInstance("e-2");
    first.reset();
    std::this_thread::sleep_for(milliseconds(700));
    EXPECT_EQ(m_workers.starts(taskName), 1);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*second, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against a second run of a task whose start was executed by the next incarnation of its worker, which the
// earlier leader did not know when it stored the claim.
TEST_F(BatchTaskTest, NewLeaderAdoptsARunOfTheNextIncarnation)
{
    storeClaim();
    m_workers.restart("w1");
    m_workers.run("w1", taskName, 1);
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    m_store.put(Stream::Directory, "w2", "ready");
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Running; }));
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_EQ(m_workers.starts(taskName), 1);
    EXPECT_FALSE(m_workers.ranTwice());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against a task that waits forever for a run that ended with an earlier incarnation of its worker.
TEST_F(BatchTaskTest, NewLeaderStartsATaskOfARestartedWorkerAgain)
{
    storeClaim();
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    auto task = startInstance("e-1");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 1; }));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a new leader that delays its next read as a follower does, and so starts jobs that other instances
// accept late.
TEST_F(BatchTaskTest, NewLeaderReadsTheJournalAtTheIntervalOfLeaders)
{
    auto task = startInstance("e-1");
    // The claim and the record that confirms it.
    ASSERT_TRUE(waitUntil([this] { return m_store.records(Stream::Journal).size() >= 2; }));
    m_store.put(Stream::Journal, makeKey(jobKeyPrefix, jobId.value()), protocol::batch::encodeJob(makeJob()));
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 1; }, shortOptions().followerReadInterval / 2));
}

// Guards against seconds without a leader after a planned stop of the leader.
TEST_F(BatchTaskTest, DrainingLeaderIsReplacedBeforeTheFailoverDelay)
{
    auto first = startInstance("e-1");
    submit(*first, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto second = startInstance("e-2");
    ASSERT_TRUE(waitUntil([&] { return query(*second, jobId).phase.has_value(); }));
    auto before = std::chrono::steady_clock::now();
    first->post({ .body = BatchMessage::Drain {} });
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*second, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_LT(std::chrono::steady_clock::now() - before, shortOptions().failoverDelay);
}

// Guards against a job that keeps running after its cancellation was acknowledged.
TEST_F(BatchTaskTest, CancelledJobIsStopped)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    EXPECT_EQ(cancel(*task, jobId), ChangeOutcome::Done);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().empty(); }));
    EXPECT_EQ(query(*task, jobId).phase, BatchJobEntry::Phase::Cancelled);
}

// Guards against more attempts than allowed, and against a failure that is never reported.
TEST_F(BatchTaskTest, JobFailsAfterItsLastAttempt)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    for (int attempt = 0; attempt < 2; ++attempt) {
        ASSERT_TRUE(waitUntil([&] { return m_workers.starts(taskName) == attempt + 1; }));
        m_workers.finish("w1", taskName, EndedTask::Reason::Failed);
    }
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Failed; }));
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(m_workers.starts(taskName), 2);
}

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

// Guards against an instance that stays ready while it cannot read the journal.
TEST_F(BatchTaskTest, UnresponsiveStoreMakesTheInstanceNotReady)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    m_store.setUnresponsive(true);
    EXPECT_TRUE(waitUntil([this] { return !m_ready.load(); }, milliseconds(1'000)));
    m_store.setUnresponsive(false);
    EXPECT_TRUE(waitUntil([this] { return m_ready.load(); }, milliseconds(1'000)));
}

// Guards against an instance with few processors that decodes each large version of a series and is late with the last.
TEST_F(BatchTaskTest, OnlyTheNewestVersionOfASeriesIsDecoded)
{
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_configurationVersion == 1; }));
    m_store.setUnresponsive(true);
    // Longer than a long poll, so that the series is not read before it is complete.
    std::this_thread::sleep_for(milliseconds(100));
    int decodedBefore = m_decodedConfigurations;
    for (int version = 2; version <= 9; ++version)
        m_store.put(Stream::Configuration, "config", std::to_string(version));
    m_store.setUnresponsive(false);
    ASSERT_TRUE(waitUntil([this] { return m_configurationVersion == 9; }));
    EXPECT_EQ(m_decodedConfigurations - decodedBefore, 1);
}

// Guards against "no such job" for a job that another instance accepted a moment ago.
TEST_F(BatchTaskTest, QueryFindsAJobThatAnotherInstanceAccepted)
{
    auto first = startInstance("e-1");
    auto second = startInstance("e-2");
    ASSERT_EQ(submit(*first, makeJob()), ChangeOutcome::Done);
    EXPECT_TRUE(query(*second, jobId).phase.has_value());
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

// Guards against a new leader that starts nothing until a worker changes its entry or the first long poll ends.
TEST_F(BatchTaskTest, NewLeaderReadsTheDirectoryAtOnce)
{
    m_options.directoryWait = milliseconds(3'000);
    auto task = startInstance("e-1");
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 1; }, milliseconds(1'500)));
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

} // namespace lentilsaddle::coordination::batch
