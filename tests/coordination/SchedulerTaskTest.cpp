#include "coordination/SchedulerTask.h"

#include "tests/coordination/FakeJobStream.h"
#include "tests/coordination/FakePlatform.h"
#include "transport/Metrics.h"

#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <thread>

namespace lentilsaddle::coordination {

namespace {

    using Answer = SchedulerMessage::JobAnswer;
    using state::Record;
    using namespace std::chrono_literals;

    class SchedulerTaskTest : public testing::Test {
    protected:
        /// One process; its log port can be cut.
        struct Instance {
            std::unique_ptr<SchedulerTask> task;
            std::function<void(LogMessage)> port;
        };

        SchedulerTask& start(const std::string& name, std::uint64_t incarnation = 1)
        {
            TaskEnvironment environment { .instance = state::InstanceId(name),
                .dataCentre = state::DataCentreId("dc"),
                .incarnation = incarnation,
                .monotonicClock = [] { return std::chrono::steady_clock::now(); },
                .wallClock = [] { return state::WallTime(); },
                .random = [] { return 7; },
                .recordEvent = [](const std::string&, const std::string&, const std::string&) {},
                .faultPoint = [](std::string_view) {},
                .metrics = &m_metrics };
            SchedulerTaskOptions options { .platformUrl = m_platform.url(),
                .renewInterval = 50ms,
                .workerTimeout = 300ms,
                .electionRankDelay = 50ms,
                .fenceRetry = 100ms };
            m_tasks.push_back(std::make_unique<SchedulerTask>(environment, options,
                SchedulerTaskHooks { .postLog = m_log.port(environment.instance, incarnation),
                    .onRole = [](const PeerMessage::SchedulerRole&) {},
                    .placementPolicy = {} }));
            SchedulerTask& task = *m_tasks.back();
            task.start();
            auto configuration = std::make_shared<state::Configuration>();
            state::AccountId account("a");
            configuration->accounts[account] = { .id = account, .weight = 1, .guarantees = {} };
            task.post({ .body = SchedulerMessage::Configure { .configuration = configuration, .ready = true } });
            task.post({ .body = SchedulerMessage::LogReachability { true } });
            members(task, name, false);
            // The stream has been read once the task knows its scheduler.
            EXPECT_TRUE(eventually([&] { return !status(task).scheduler.empty(); }));
            return task;
        }

        static void members(SchedulerTask& task, const std::string& name, bool suspected)
        {
            task.post({ .body = SchedulerMessage::Members {
                            .members = { { .name = state::InstanceId(name) } }, .schedulerSuspected = suspected } });
        }

        static state::JobSpecification job(const std::string& id, int tasks = 2)
        {
            return { .id = state::JobId(id),
                .account = state::AccountId("a"),
                .shape = { .tasks = tasks, .acceleratorsPerTask = 2 },
                .declaredRunTime = 60s,
                .payload = "run" };
        }

        static Answer submit(SchedulerTask& task, const state::JobSpecification& specification)
        {
            std::promise<Answer> answer;
            task.post({ .body
                = SchedulerMessage::Submit { specification, [&](const Answer& value) { answer.set_value(value); } } });
            return answer.get_future().get();
        }

        static Answer cancel(SchedulerTask& task, const std::string& id)
        {
            std::promise<Answer> answer;
            task.post({ .body = SchedulerMessage::Cancel {
                            state::JobId(id), [&](const Answer& value) { answer.set_value(value); } } });
            return answer.get_future().get();
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

        transport::Metrics m_metrics;
        FakePlatform m_platform { 2 };
        FakeJobStream m_log;
        std::vector<std::unique_ptr<SchedulerTask>> m_tasks;
    };

} // namespace

// Guards against a break anywhere on the path from submission to the recorded end.
TEST_F(SchedulerTaskTest, JobRunsOnceFromSubmissionToEnd)
{
    SchedulerTask& task = start("e1");
    EXPECT_EQ(submit(task, job("j")).status, Answer::Status::Accepted);
    ASSERT_TRUE(reaches(task, "j", "running"));
    EXPECT_EQ(m_platform.count("j", "running"), 2);
    m_platform.finish("j", "succeeded");
    ASSERT_TRUE(reaches(task, "j", "done"));
    EXPECT_TRUE(eventually([&] { return m_platform.count("j", "succeeded") == 0; }));
    EXPECT_EQ(m_log.all<Record::StartClaim>().size(), 1U);
    m_platform.run([&] { EXPECT_EQ(m_platform.m_starts["j"], (std::map<int, int> { { 1, 2 } })); });
}

} // namespace lentilsaddle::coordination
