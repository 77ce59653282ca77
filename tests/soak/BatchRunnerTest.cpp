#include "tests/standin/BatchRunner.h"

#include <gtest/gtest.h>

namespace lentilsaddle::standin {

namespace {

    using nlohmann::json;
    using std::chrono::milliseconds;

    class BatchRunnerTest : public testing::Test {
    protected:
        // Starts a run whose command takes the given time to be executed.
        void start(const std::string& task, const json& work, milliseconds at, milliseconds executionDelay = {})
        {
            json command { { "task", task }, { "run", 1 }, { "spec", work.dump() }, { "deadline_ms", 1'000'000 } };
            ASSERT_EQ(m_runner.start(command, m_begin + at, m_begin + at + executionDelay).status, 200);
        }

        void stop(const std::string& task, milliseconds at)
        {
            m_runner.stop({ { "task", task }, { "run", 1 } }, m_begin + at);
        }

        BatchRunner m_runner { "w-0", 8 };
        BatchRunner::Time m_begin = std::chrono::steady_clock::now();
    };

    const json longWork { { "work_ms", 100'000 }, { "gpu", 4 } };

} // namespace

// Guards against a soak that takes a start for allowed although the smaller capacity must be known by then, or reports
// one that may still rely on the larger one.
TEST_F(BatchRunnerTest, SmallerCapacityCountsOnceItMustBeKnown)
{
    m_runner.setAccelerators(2, m_begin);
    start("a.0.0.0", longWork, milliseconds(4'400));
    EXPECT_EQ(m_runner.overloads(), 0);
    start("a.0.0.1", longWork, milliseconds(4'600));
    EXPECT_EQ(m_runner.overloads(), 1);
}

// Guards against a soak that takes a start for allowed although it exceeds the larger capacity too.
TEST_F(BatchRunnerTest, LargerCapacityCountsAtOnce)
{
    m_runner.setAccelerators(2, m_begin);
    for (const char* task : { "a.0.0.0", "a.0.0.1" })
        start(task, longWork, milliseconds(10));
    EXPECT_EQ(m_runner.overloads(), 0);
    start("a.0.0.2", longWork, milliseconds(10));
    EXPECT_EQ(m_runner.overloads(), 1);
}

// Guards against a soak that counts the time by which a worker executes a command late.
TEST_F(BatchRunnerTest, CapacityIsTakenWhenTheCommandArrives)
{
    m_runner.setAccelerators(2, m_begin);
    start("a.0.0.0", longWork, milliseconds(4'000), milliseconds(2'000));
    EXPECT_EQ(m_runner.overloads(), 0);
}

// Guards against a gang that ends in part: one member stopped, another one done, because both times have passed when
// the worker is advanced. The scheduler takes one member's success for that of the gang.
TEST_F(BatchRunnerTest, GangOfWhichAMemberIsStoppedFirstIsNotDone)
{
    const json member { { "work_ms", 100 }, { "gang", 2 } };
    start("a.0.0.0", member, milliseconds(0));
    start("a.0.0.1", member, milliseconds(0));
    m_runner.startCompleteGang("a.0.0#1", 2, m_begin);
    stop("a.0.0.0", milliseconds(35));
    m_runner.advance(m_begin + milliseconds(105));
    for (const auto& [gang, done] : m_runner.takeEndedGangs())
        m_runner.endGang(gang, done, m_begin + milliseconds(105));
    ASSERT_EQ(m_runner.spans().size(), 2U);
    EXPECT_EQ(m_runner.spans()[0].outcome, "stopped");
    EXPECT_EQ(m_runner.spans()[1].outcome, "broken");
}

// Guards against a task that is reported as stopped although its work had ended before the stop took effect.
TEST_F(BatchRunnerTest, WorkThatEndsBeforeAStopIsDone)
{
    start("a.0.0.0", { { "work_ms", 100 } }, milliseconds(0));
    stop("a.0.0.0", milliseconds(50));
    m_runner.advance(m_begin + milliseconds(120));
    EXPECT_EQ(m_runner.spans()[0].outcome, "done");
}

} // namespace lentilsaddle::standin
