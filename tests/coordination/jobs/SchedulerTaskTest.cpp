#include "coordination/jobs/SchedulerTask.h"

#include "coordination/decisions/FirstFitPlacement.h"
#include "coordination/decisions/QueuedJob.h"
#include "tests/coordination/FakeJobStream.h"
#include "tests/coordination/FakePlatform.h"
#include "transport/Metrics.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <mutex>
#include <optional>
#include <thread>

namespace lentilsaddle::coordination {

namespace {

    using Response = SchedulerMessage::JobResponse;
    using state::Record;
    using namespace std::chrono_literals;

    class SchedulerTaskTest : public testing::Test {
    protected:
        SchedulerTask& start(const std::string& name, const PlacementPolicy& policy = {})
        {
            constexpr std::uint64_t incarnation = 1;
            TaskEnvironment environment { .instance = state::InstanceId(name),
                .dataCentre = state::DataCentreId("dc"),
                .incarnation = incarnation,
                .monotonicClock = [] { return std::chrono::steady_clock::now(); },
                .wallClock = [] { return state::WallTime(); },
                .random = [] { return 7; },
                .recordEvent =
                    [this](const std::string& subject, const std::string& kind, const std::string& detail) {
                        std::lock_guard lock(m_eventMutex);
                        m_events.push_back(kind + " " + subject + " " + detail);
                    },
                .faultPoint = [](std::string_view) {},
                .metrics = &m_metrics };
            SchedulerTaskOptions options { .platformUrl = m_platform.url(),
                .renewInterval = 50ms,
                .workerTimeout = 300ms,
                .electionRankDelay = 50ms,
                .unlistedDelay = 50ms,
                .responseTimeout = 300ms,
                .fenceRetryInterval = 100ms,
                .quarantineDuration = m_quarantineDuration,
                .recordsPerSnapshot = 8,
                .maximumSnapshotAge = m_maximumSnapshotAge };
            m_tasks.push_back(std::make_unique<SchedulerTask>(environment, options,
                SchedulerTaskHooks { .postLog = m_log.connect(environment.instance, incarnation),
                    .onRoleChange = [](const PeerMessage::SchedulerRole&) {},
                    .placementPolicy = policy }));
            SchedulerTask& task = *m_tasks.back();
            task.start();
            auto configuration = std::make_shared<state::Configuration>();
            state::AccountId account("a");
            configuration->accounts[account] = { .id = account, .weight = 1, .guarantees = {} };
            task.post({ .body = SchedulerMessage::Configure { .configuration = configuration, .ready = true } });
            task.post({ .body = SchedulerMessage::LogReachability { true } });
            setMembers(task, false);
            // The stream has been read once the task knows its scheduler.
            EXPECT_TRUE(eventually([&] { return !status(task).scheduler.empty(); }));
            return task;
        }

        static void setMembers(SchedulerTask& task, bool suspected)
        {
            std::vector<state::InstanceInfo> both { { .name = state::InstanceId("e1") },
                { .name = state::InstanceId("e2") } };
            task.post({ .body = SchedulerMessage::Members { .members = both, .schedulerSuspected = suspected } });
        }

        bool recorded(const std::string& event)
        {
            std::lock_guard lock(m_eventMutex);
            return std::find(m_events.begin(), m_events.end(), event) != m_events.end();
        }

        /// Appends a record of an earlier scheduler.
        void appendAsEarlierScheduler(const Record::Body& body)
        {
            m_log.append(
                { .origin = { .instance = state::InstanceId("e0"), .incarnation = 1, .sequence = 1 }, .body = body });
        }

        /// Appends the records of an earlier scheduler that claimed a gang on both workers.
        void claimAsEarlierScheduler(const std::string& id)
        {
            appendAsEarlierScheduler(Record::SchedulerClaim { .epoch = 1, .vacant = false });
            appendAsEarlierScheduler(Record::JobSubmitted { job(id) });
            appendAsEarlierScheduler(Record::StartClaim { .job = state::JobId(id),
                .attempt = 1,
                .token = { .epoch = 1, .sequence = 1 },
                .placements = { { .worker = state::WorkerId("w0"), .accelerators = { 0, 1 } },
                    { .worker = state::WorkerId("w1"), .accelerators = { 0, 1 } } } });
        }

        static state::JobSpecification job(const std::string& id, int tasks = 2)
        {
            return { .id = state::JobId(id),
                .account = state::AccountId("a"),
                .shape = { .tasks = tasks, .acceleratorsPerTask = 2 },
                .declaredRunTime = 60s,
                .payload = "run" };
        }

        static Response submit(SchedulerTask& task, const state::JobSpecification& specification)
        {
            std::promise<Response> response;
            task.post({ .body = SchedulerMessage::Submit {
                            specification, [&](const Response& value) { response.set_value(value); } } });
            return response.get_future().get();
        }

        static Response cancel(SchedulerTask& task, const std::string& id)
        {
            std::promise<Response> response;
            task.post({ .body = SchedulerMessage::Cancel {
                            state::JobId(id), [&](const Response& value) { response.set_value(value); } } });
            return response.get_future().get();
        }

        static SchedulerMessage::StatusView status(SchedulerTask& task)
        {
            std::promise<SchedulerMessage::StatusView> status;
            task.post({ .body = SchedulerMessage::Status {
                            [&](const SchedulerMessage::StatusView& view) { status.set_value(view); } } });
            return status.get_future().get();
        }

        static std::string stateOf(SchedulerTask& task, const std::string& id)
        {
            std::promise<std::string> state;
            task.post({ .body = SchedulerMessage::Query {
                            state::JobId(id), [&](const std::optional<SchedulerMessage::JobView>& view) {
                                state.set_value(view ? view->state : "");
                            } } });
            return state.get_future().get();
        }

        /// Waits for a condition; the limit only ends a test that would hang.
        static bool eventually(const std::function<bool()>& condition)
        {
            auto end = std::chrono::steady_clock::now() + 20s;
            while (!condition()) {
                if (std::chrono::steady_clock::now() > end)
                    return false;
                std::this_thread::sleep_for(5ms);
            }
            return true;
        }

        static bool reaches(SchedulerTask& task, const std::string& id, const std::string& state)
        {
            return eventually([&] { return stateOf(task, id) == state; });
        }

        std::chrono::milliseconds m_quarantineDuration { 300 };
        std::chrono::milliseconds m_maximumSnapshotAge = std::chrono::hours(6);
        std::mutex m_eventMutex;
        std::vector<std::string> m_events;
        transport::Metrics m_metrics;
        FakePlatform m_platform { 2 };
        FakeJobStream m_log;
        std::vector<std::unique_ptr<SchedulerTask>> m_tasks;
    };

} // namespace

// Guards against failures on the path from the submission of a job to its recorded end.
TEST_F(SchedulerTaskTest, JobRunsOnceFromSubmissionToEnd)
{
    SchedulerTask& task = start("e1");
    EXPECT_EQ(submit(task, job("j")).status, Response::Status::Accepted);
    ASSERT_TRUE(reaches(task, "j", "running"));
    EXPECT_EQ(m_platform.countWorkers("j", "running"), 2);
    m_platform.setTaskState("j", "succeeded");
    ASSERT_TRUE(reaches(task, "j", "done"));
    EXPECT_TRUE(eventually([&] { return m_platform.countWorkers("j", "succeeded") == 0; }));
    EXPECT_EQ(m_log.bodies<Record::StartClaim>().size(), 1U);
    m_platform.run([&] { EXPECT_EQ(m_platform.m_starts["j"], (std::map<int, int> { { 1, 2 } })); });
}

// Guards against accepting a job that is not in the log, and against refusing one that may be.
TEST_F(SchedulerTaskTest, SubmissionStatusFollowsTheLog)
{
    SchedulerTask& task = start("e1");
    EXPECT_EQ(submit(task, job("same")).status, Response::Status::Accepted);
    EXPECT_EQ(submit(task, job("same")).status, Response::Status::Accepted);
    EXPECT_EQ(submit(task, job("same", 1)).status, Response::Status::Conflict);
    m_log.setStatus(FakeJobStream::Status::NotAppended);
    EXPECT_EQ(submit(task, job("lost")).reason, "log_unavailable");
    m_log.setStatus(FakeJobStream::Status::Unresolved);
    EXPECT_EQ(submit(task, job("open")).status, Response::Status::Unknown);
    m_log.setStatus(FakeJobStream::Status::Appended);
    task.post({ .body = SchedulerMessage::LogReachability { false } });
    EXPECT_EQ(submit(task, job("away")).reason, "log_unavailable");
    EXPECT_EQ(m_log.bodies<Record::JobSubmitted>().size(), 1U);
}

// Guards against reporting "not run" for a job whose earlier submission may be in the log, because only the repeated
// submission was refused.
TEST_F(SchedulerTaskTest, RefusalOfARepeatedSubmissionIsReportedAsUnknown)
{
    SchedulerTask& task = start("e1");
    m_log.setStatus(FakeJobStream::Status::Unresolved);
    ASSERT_EQ(submit(task, job("open")).status, Response::Status::Unknown);
    m_log.setStatus(FakeJobStream::Status::NotAppended);
    EXPECT_EQ(submit(task, job("open")).status, Response::Status::Unknown);
    task.post({ .body = SchedulerMessage::LogReachability { false } });
    EXPECT_EQ(submit(task, job("open")).status, Response::Status::Unknown);
    EXPECT_EQ(submit(task, job("other")).status, Response::Status::Refused);
}

// Guards against the same for a cancellation.
TEST_F(SchedulerTaskTest, RefusalOfARepeatedCancellationIsReportedAsUnknown)
{
    SchedulerTask& task = start("e1");
    ASSERT_EQ(submit(task, job("j")).status, Response::Status::Accepted);
    m_log.setStatus(FakeJobStream::Status::Unresolved);
    ASSERT_EQ(cancel(task, "j").status, Response::Status::Unknown);
    m_log.setStatus(FakeJobStream::Status::NotAppended);
    EXPECT_EQ(cancel(task, "j").status, Response::Status::Unknown);
    task.post({ .body = SchedulerMessage::LogReachability { false } });
    EXPECT_EQ(cancel(task, "j").status, Response::Status::Unknown);
}

// Guards against a caller who is told that there is no such job, when the job may still be read from the log and run.
TEST_F(SchedulerTaskTest, CancellationOfAJobThatMayBeInTheLogIsNotAnsweredWithNotFound)
{
    SchedulerTask& task = start("e1");
    EXPECT_EQ(cancel(task, "open").status, Response::Status::NotFound);
    m_log.setStatus(FakeJobStream::Status::Unresolved);
    ASSERT_EQ(submit(task, job("open")).status, Response::Status::Unknown);
    EXPECT_EQ(cancel(task, "open").status, Response::Status::Unknown);
    task.post({ .body = SchedulerMessage::LogReachability { false } });
    EXPECT_EQ(cancel(task, "open").status, Response::Status::Unknown);
    EXPECT_EQ(cancel(task, "other").status, Response::Status::Refused);
}

// Guards against accepting jobs that can never run or whose account is unknown.
TEST_F(SchedulerTaskTest, ImpossibleJobIsRefusedWithItsField)
{
    SchedulerTask& task = start("e1");
    EXPECT_TRUE(eventually([&] { return status(task).accelerators == 4; }));
    state::JobSpecification unknownAccount = job("j");
    unknownAccount.account = state::AccountId("nobody");
    EXPECT_EQ(submit(task, unknownAccount).field, "account");
    EXPECT_EQ(submit(task, job("j", 3)).field, "tasks");
    task.post({ .body = SchedulerMessage::Configure {} });
    EXPECT_EQ(submit(task, job("j")).reason, "configuration_unavailable");
    EXPECT_TRUE(m_log.bodies<Record::JobSubmitted>().empty());
}

// Guards against a gang that runs on one worker after the other refused, and against a worker that blocks the job.
TEST_F(SchedulerTaskTest, RefusedStartReleasesTheGangAndIsRetried)
{
    m_platform.run([&] { m_platform.m_workers["w1"].rejectsStarts = true; });
    SchedulerTask& task = start("e1");
    submit(task, job("j"));
    ASSERT_TRUE(eventually([&] { return !m_log.bodies<Record::AttemptEnded>().empty(); }));
    EXPECT_EQ(m_log.bodies<Record::AttemptEnded>().front().failedWorkers, (std::vector { state::WorkerId("w1") }));
    m_platform.run([&] { m_platform.m_workers["w1"].rejectsStarts = false; });
    EXPECT_TRUE(reaches(task, "j", "running"));
    EXPECT_EQ(m_platform.countWorkers("j", "running"), 2);
    EXPECT_EQ(m_platform.m_maxConcurrentAttempts, 1U);
}

// Guards against endless retries of a job that always fails.
TEST_F(SchedulerTaskTest, JobThatAlwaysFailsEndsAfterThreeAttempts)
{
    SchedulerTask& task = start("e1");
    submit(task, job("j"));
    for (int attempt = 1; attempt <= 3; ++attempt) {
        ASSERT_TRUE(eventually([&] { return m_platform.startCount("j", attempt) == 2; }));
        m_platform.setTaskState("j", "failed");
    }
    EXPECT_TRUE(reaches(task, "j", "failed"));
    EXPECT_EQ(m_log.bodies<Record::StartClaim>().size(), 3U);
}

// Guards against a gang that keeps running in part after one of its tasks was lost.
TEST_F(SchedulerTaskTest, LapsedTaskStopsTheWholeGang)
{
    SchedulerTask& task = start("e1");
    submit(task, job("j"));
    ASSERT_TRUE(reaches(task, "j", "running"));
    m_platform.run([&] { m_platform.m_workers["w0"].tasks.front().state = "lapsed"; });
    EXPECT_TRUE(eventually([&] { return m_platform.startCount("j", 2) == 2; }));
    EXPECT_EQ(m_log.bodies<Record::AttemptEnded>().front().outcome, "unknown");
    m_platform.run([&] { EXPECT_EQ(m_platform.m_maxConcurrentAttempts, 1U); });
}

// Guards against a cancelled job that keeps its allocation, and against a repeated cancellation that is refused.
TEST_F(SchedulerTaskTest, CancelledJobReleasesItsAllocation)
{
    SchedulerTask& task = start("e1");
    submit(task, job("running"));
    submit(task, job("queued"));
    submit(task, job("next"));
    ASSERT_TRUE(reaches(task, "running", "running"));
    EXPECT_EQ(cancel(task, "queued").status, Response::Status::Accepted);
    EXPECT_EQ(cancel(task, "running").status, Response::Status::Accepted);
    EXPECT_EQ(cancel(task, "running").status, Response::Status::Accepted);
    EXPECT_EQ(cancel(task, "nothing").status, Response::Status::NotFound);
    EXPECT_TRUE(reaches(task, "running", "cancelled"));
    EXPECT_TRUE(reaches(task, "queued", "cancelled"));
    EXPECT_TRUE(reaches(task, "next", "running"));
    EXPECT_EQ(m_platform.startCount("queued", 1), 0);
}

// Guards against a failover that starts a running job again or loses a queued one.
TEST_F(SchedulerTaskTest, SuccessorAdoptsRunningAndStartsQueuedJobs)
{
    SchedulerTask& first = start("e1");
    submit(first, job("running"));
    ASSERT_TRUE(reaches(first, "running", "running"));
    submit(first, job("queued"));
    first.stop();
    SchedulerTask& second = start("e2");
    setMembers(second, true);
    ASSERT_TRUE(eventually([&] { return status(second).isScheduler; }));
    EXPECT_TRUE(reaches(second, "running", "running"));
    m_platform.setTaskState("running", "succeeded");
    EXPECT_TRUE(reaches(second, "running", "done"));
    EXPECT_TRUE(reaches(second, "queued", "running"));
    EXPECT_EQ(m_platform.startCount("running", 1), 2);
    EXPECT_EQ(m_platform.startCount("running", 2), 0);
}

// Guards against a scheduler that stays active after a successor fenced its workers.
TEST_F(SchedulerTaskTest, SupersededSchedulerEndsNoAttempt)
{
    SchedulerTask& first = start("e1");
    submit(first, job("j"));
    ASSERT_TRUE(reaches(first, "j", "running"));
    SchedulerTask& second = start("e2");
    setMembers(second, true);
    ASSERT_TRUE(eventually([&] { return status(second).isScheduler; }));
    ASSERT_TRUE(eventually([&] { return !status(first).isScheduler; }));
    ASSERT_TRUE(reaches(second, "j", "running"));
    EXPECT_EQ(m_platform.startCount("j", 2), 0);
    EXPECT_TRUE(m_log.bodies<Record::AttemptEnded>().empty());
}

// Guards against a scheduler that stays active in an old epoch because it cannot read the newer one from the log.
TEST_F(SchedulerTaskTest, SchedulerFencedByAWorkerStops)
{
    SchedulerTask& task = start("e1");
    submit(task, job("j"));
    ASSERT_TRUE(reaches(task, "j", "running"));
    m_platform.run([&] { m_platform.m_workers["w0"].epoch = 9; });
    EXPECT_TRUE(eventually([&] { return !status(task).isScheduler; }));
    EXPECT_EQ(m_platform.countWorkers("j", "running"), 2);
    EXPECT_TRUE(m_log.bodies<Record::AttemptEnded>().empty());
}

// Guards against an instance that remains the scheduler after its drain.
TEST_F(SchedulerTaskTest, DrainedSchedulerStepsDown)
{
    SchedulerTask& first = start("e1");
    submit(first, job("j"));
    ASSERT_TRUE(reaches(first, "j", "running"));
    std::promise<void> drained;
    first.post({ .body = SchedulerMessage::Drain { [&] { drained.set_value(); } } });
    drained.get_future().wait();
    EXPECT_FALSE(status(first).isScheduler);
    EXPECT_EQ(submit(first, job("late")).reason, "draining");
    SchedulerTask& second = start("e2");
    ASSERT_TRUE(reaches(second, "j", "running"));
    EXPECT_EQ(m_platform.startCount("j", 2), 0);
}

// Guards against a scheduler that steps down while a start is in flight.
TEST_F(SchedulerTaskTest, DrainWaitsForTheStartInFlight)
{
    m_platform.run([&] { m_platform.m_workers["w1"].unansweredCalls = { "start" }; });
    SchedulerTask& task = start("e1");
    submit(task, job("j"));
    ASSERT_TRUE(reaches(task, "j", "starting"));
    std::promise<void> drained;
    task.post({ .body = SchedulerMessage::Drain { [&] { drained.set_value(); } } });
    drained.get_future().wait();
    EXPECT_TRUE(m_log.bodies<Record::SchedulerClaim>().back().vacant);
    EXPECT_EQ(m_log.bodies<Record::AttemptEnded>().size(), 1U);
    EXPECT_EQ(m_platform.countWorkers("j", "running"), 0);
}

// Guards against a log outage that blocks starts, and against records that are not appended after the outage.
TEST_F(SchedulerTaskTest, RepeatableQueuedJobStartsWithoutTheLog)
{
    SchedulerTask& task = start("e1");
    submit(task, job("first"));
    ASSERT_TRUE(reaches(task, "first", "running"));
    state::JobSpecification once = job("once");
    once.repeatable = false;
    submit(task, once);
    submit(task, job("second"));
    m_log.setStatus(FakeJobStream::Status::NotAppended);
    task.post({ .body = SchedulerMessage::LogReachability { false } });
    EXPECT_EQ(cancel(task, "second").reason, "log_unavailable");
    m_platform.setTaskState("first", "failed");
    ASSERT_TRUE(reaches(task, "second", "running"));
    m_platform.setTaskState("second", "succeeded");
    ASSERT_TRUE(reaches(task, "second", "stopping"));
    EXPECT_EQ(stateOf(task, "once"), "queued");
    EXPECT_EQ(m_log.bodies<Record::StartClaim>().size(), 1U);
    m_log.setStatus(FakeJobStream::Status::Appended);
    task.post({ .body = SchedulerMessage::LogReachability { true } });
    EXPECT_TRUE(reaches(task, "second", "done"));
    EXPECT_TRUE(reaches(task, "once", "running"));
    EXPECT_EQ(m_platform.startCount("second", 1), 2);
    EXPECT_EQ(m_platform.startCount("second", 2), 0);
}

// Guards against a failover that leaves a part of a gang, or a task without a claim, running.
TEST_F(SchedulerTaskTest, SuccessorStopsIncompleteGangsAndOrphanedTasks)
{
    claimAsEarlierScheduler("j");
    FakePlatform::Task part { .job = "j", .attempt = 1, .epoch = 1, .sequence = 1, .state = "running" };
    FakePlatform::Task orphan { .job = "gone", .attempt = 1, .epoch = 1, .sequence = 2, .state = "running" };
    m_platform.run([&] {
        m_platform.m_workers["w0"].tasks.push_back(part);
        m_platform.m_workers["w1"].tasks.push_back(orphan);
    });
    SchedulerTask& task = start("e1");
    EXPECT_TRUE(eventually([&] { return m_platform.startCount("j", 2) == 2; }));
    EXPECT_TRUE(reaches(task, "j", "running"));
    EXPECT_EQ(m_platform.countWorkers("j", "running"), 2);
    EXPECT_EQ(m_platform.countWorkers("gone", "running"), 0);
    EXPECT_EQ(m_log.bodies<Record::AttemptEnded>().front().outcome, "unknown");
}

// Guards against starting a job that a predecessor without the log may be running on an unresponsive worker.
TEST_F(SchedulerTaskTest, QueuedJobWaitsForTheUnresponsiveWorker)
{
    appendAsEarlierScheduler(Record::SchedulerClaim { .epoch = 1, .vacant = false });
    appendAsEarlierScheduler(Record::JobSubmitted { job("old", 1) });
    m_platform.run([&] { m_platform.m_workers["w1"].unansweredCalls = { "all" }; });
    SchedulerTask& task = start("e1");
    ASSERT_TRUE(eventually([&] { return status(task).isScheduler; }));
    EXPECT_EQ(submit(task, job("fresh", 1)).status, Response::Status::Accepted);
    ASSERT_TRUE(reaches(task, "fresh", "running"));
    EXPECT_EQ(stateOf(task, "old"), "queued");
    m_platform.run([&] { m_platform.m_workers["w1"].unansweredCalls.clear(); });
    EXPECT_TRUE(reaches(task, "old", "running"));
}

// Guards against mistaking a task that a scheduler without the log started unrecorded for one of the recorded attempt.
TEST_F(SchedulerTaskTest, UnrecordedAttemptIsDistinguishedFromTheRecordedOne)
{
    appendAsEarlierScheduler(Record::SchedulerClaim { .epoch = 1, .vacant = false });
    appendAsEarlierScheduler(Record::JobSubmitted { job("j") });
    FakePlatform::Task unrecorded { .job = "j", .attempt = 1, .epoch = 1, .sequence = 9, .state = "running" };
    m_platform.run([&] {
        m_platform.m_workers["w1"].tasks.push_back(unrecorded);
        m_platform.m_workers["w2"].tasks.push_back(unrecorded);
        m_platform.m_workers["w2"].unansweredCalls = { "all" };
    });
    SchedulerTask& task = start("e1");
    ASSERT_TRUE(reaches(task, "j", "running"));
    m_platform.run([&] { m_platform.m_workers["w2"].unansweredCalls.clear(); });
    EXPECT_TRUE(eventually([&] { return m_platform.countWorkers("j", "running") == 2; }));
    m_platform.run([&] { EXPECT_TRUE(m_platform.m_workers["w2"].tasks.empty()); });
}

// Guards against a preempted job that is stopped without a checkpoint, not queued again, or counted as failed.
TEST_F(SchedulerTaskTest, PreemptedJobIsCheckpointedAndQueuedAgain)
{
    auto policy
        = [](const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime now) {
              PlacementPlan plan = firstFitPlacement(placement, queue, now);
              bool urgent = std::any_of(
                  queue.begin(), queue.end(), [](const QueuedJob& waiting) { return waiting.specification.urgent; });
              if (urgent && plan.starts.empty())
                  plan.preemptions = { state::JobId("borrower") };
              return plan;
          };
    SchedulerTask& task = start("e1", policy);
    submit(task, job("borrower"));
    ASSERT_TRUE(reaches(task, "borrower", "running"));
    state::JobSpecification owner = job("owner");
    owner.urgent = true;
    submit(task, owner);
    ASSERT_TRUE(eventually([&] { return !m_log.bodies<Record::AttemptEnded>().empty(); }));
    EXPECT_EQ(m_log.bodies<Record::AttemptEnded>().front().outcome, "preempted");
    m_platform.run([&] { EXPECT_EQ(m_platform.m_checkpoints, 2); });
    ASSERT_TRUE(reaches(task, "owner", "running"));
    m_platform.setTaskState("owner", "succeeded");
    EXPECT_TRUE(eventually([&] { return m_platform.startCount("borrower", 2) == 2; }));
    EXPECT_TRUE(recorded("job.preempted borrower "));
}

// Guards against a worker that fails one job after another, and against excluding it after it has recovered.
TEST_F(SchedulerTaskTest, FailingWorkerIsQuarantinedAndProbed)
{
    m_platform.run([&] { m_platform.m_workers["w1"].rejectsStarts = true; });
    SchedulerTask& task = start("e1");
    for (const char* id : { "j1", "j2", "j3" })
        submit(task, job(id));
    ASSERT_TRUE(eventually([&] {
        return recorded("worker.quarantined j1 w1") || recorded("worker.quarantined j2 w1")
            || recorded("worker.quarantined j3 w1");
    }));
    m_platform.run([&] { m_platform.m_workers["w1"].rejectsStarts = false; });
    submit(task, job("probe", 1));
    submit(task, job("other", 1));
    ASSERT_TRUE(reaches(task, "probe", "running"));
    ASSERT_TRUE(reaches(task, "other", "running"));
    m_platform.setTaskState("probe", "succeeded");
    m_platform.setTaskState("other", "succeeded");
    EXPECT_TRUE(eventually([&] {
        return m_platform.countWorkers("j1", "running") + m_platform.countWorkers("j2", "running")
            + m_platform.countWorkers("j3", "running")
            == 2;
    }));
}

// Guards against placing jobs on a quarantined worker.
TEST_F(SchedulerTaskTest, QuarantinedWorkerGetsNoJob)
{
    m_quarantineDuration = 1h;
    m_platform.run([&] { m_platform.m_workers["w1"].rejectsStarts = true; });
    SchedulerTask& task = start("e1");
    for (const char* id : { "j1", "j2", "j3" })
        submit(task, job(id));
    ASSERT_TRUE(eventually([&] {
        return recorded("worker.quarantined j1 w1") || recorded("worker.quarantined j2 w1")
            || recorded("worker.quarantined j3 w1");
    }));
    m_platform.run([&] { m_platform.m_workers["w1"].rejectsStarts = false; });
    submit(task, job("first", 1));
    submit(task, job("second", 1));
    ASSERT_TRUE(reaches(task, "first", "running"));
    m_platform.setTaskState("first", "succeeded");
    ASSERT_TRUE(reaches(task, "second", "running"));
    m_platform.run([&] { EXPECT_TRUE(m_platform.m_workers["w1"].tasks.empty()); });
    EXPECT_EQ(stateOf(task, "first"), "done");
}

// Guards against a stream that can be replayed only from its start, which may have expired.
TEST_F(SchedulerTaskTest, SnapshotIsAppendedAfterEnoughRecords)
{
    SchedulerTask& task = start("e1");
    for (int i = 0; i < 8; ++i)
        submit(task, job("j" + std::to_string(i)));
    ASSERT_TRUE(eventually([&] { return m_log.bodies<Record::JobSnapshot>().size() >= 2; }));
    Record::JobSnapshot snapshot = m_log.bodies<Record::JobSnapshot>().back();
    EXPECT_GT(snapshot.jobs.size(), 0U);
    EXPECT_LE(snapshot.nextOffset, m_log.records().size());
}

// Guards against a stream with little traffic whose records expire before enough follow to trigger a snapshot.
TEST_F(SchedulerTaskTest, SnapshotIsAppendedAtItsMaximumAge)
{
    m_maximumSnapshotAge = 50ms;
    start("e1");
    EXPECT_TRUE(eventually([&] { return m_log.bodies<Record::JobSnapshot>().size() >= 3; }));
}

// Guards against leases of running gangs that lapse when the scheduler fails during a log outage.
TEST_F(SchedulerTaskTest, OtherInstanceRenewsLeasesWhileNoSchedulerCanBeElected)
{
    SchedulerTask& first = start("e1");
    submit(first, job("j"));
    ASSERT_TRUE(reaches(first, "j", "running"));
    SchedulerTask& second = start("e2");
    second.post({ .body = SchedulerMessage::LogReachability { false } });
    first.stop();
    m_platform.run([&] { m_platform.m_workers["w0"].renewals = m_platform.m_workers["w1"].renewals = 0; });
    setMembers(second, true);
    EXPECT_TRUE(eventually([&] { return m_platform.renewals("w0") > 1 && m_platform.renewals("w1") > 1; }));
    EXPECT_FALSE(status(second).isScheduler);
    EXPECT_EQ(m_platform.startCount("j", 1), 2);
    // Another scheduler fenced one worker, so the leases on the other one must not be renewed either.
    m_platform.run([&] { m_platform.m_workers["w0"].epoch = 9; });
    EXPECT_TRUE(eventually([&] {
        int before = m_platform.renewals("w1");
        std::this_thread::sleep_for(200ms);
        return m_platform.renewals("w1") == before;
    }));
}

} // namespace lentilsaddle::coordination
