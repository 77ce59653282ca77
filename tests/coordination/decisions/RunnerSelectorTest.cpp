#include "coordination/decisions/RunnerSelector.h"

#include <gtest/gtest.h>

#include <random>

namespace lentilsaddle::coordination {

namespace {

    class RunnerSelectorTest : public testing::Test {
    protected:
        static state::InstanceInfo runner(const std::string& name, const std::string& dataCentre)
        {
            return {
                .name = state::InstanceId(name),
                .kind = state::InstanceInfo::Kind::BackendServer,
                .dataCentre = state::DataCentreId(dataCentre),
            };
        }

        static bool all(const state::InstanceId&) { return true; }

        std::mt19937_64 m_engine { 20261204 };
        RunnerSelector m_selector { state::DataCentreId("here"), { .random = [this] { return m_engine(); } } };
    };

} // namespace

// Guards against traffic between data centres while the local one has room, and against idle remote runners when not.
TEST_F(RunnerSelectorTest, LocalDataCentreComesFirst)
{
    m_selector.setService({ .slotsPerServer = 2 });
    m_selector.setRunners({ runner("local", "here"), runner("remote", "there") }, 1);
    for (const char* expected : { "local", "local", "remote", "remote" }) {
        std::optional<state::InstanceId> chosen = m_selector.select(all, {});
        ASSERT_TRUE(chosen);
        EXPECT_EQ(chosen->value(), expected);
        m_selector.recordHandOver(*chosen);
    }
    EXPECT_FALSE(m_selector.select(all, {}));
}

// Guards against herding on one runner: two random choices keep the largest load close to the mean.
TEST_F(RunnerSelectorTest, TwoChoicesKeepTheLoadsClose)
{
    std::vector<state::InstanceInfo> runners;
    runners.reserve(48);
    for (int i = 0; i < 48; ++i)
        runners.push_back(runner("r" + std::to_string(i), "here"));
    m_selector.setService({ .slotsPerServer = 64 });
    m_selector.setRunners(runners, 1);
    for (int i = 0; i < 48 * 8; ++i)
        m_selector.recordHandOver(*m_selector.select(all, {}));
    for (const auto& [id, entry] : m_selector.runners())
        EXPECT_LE(entry.outstanding, 8 + 3) << id.value();
}

// Guards against instances that together exceed a runner's connections, or its slots once others use them.
TEST_F(RunnerSelectorTest, UsesOnlyItsShareOfARunner)
{
    m_selector.setService({ .slotsPerServer = 1000, .connectionsPerServer = 64 });
    m_selector.setRunners({ runner("r", "here") }, 6);
    int taken = 0;
    for (; m_selector.select(all, {}); ++taken)
        m_selector.recordHandOver(state::InstanceId("r"));
    EXPECT_EQ(taken, 10);
    m_selector.setService({ .slotsPerServer = 8, .connectionsPerServer = 64 });
    for (; taken > 0; --taken)
        m_selector.recordEnd(state::InstanceId("r"), 7);
    for (; m_selector.select(all, {}); ++taken)
        m_selector.recordHandOver(state::InstanceId("r"));
    EXPECT_EQ(taken, 2);
}

// Guards against new work for a leaving runner, and against losing count of the requests that it still serves.
TEST_F(RunnerSelectorTest, LeavingRunnerGetsNothingNew)
{
    state::InstanceInfo leaving = runner("r", "here");
    m_selector.setRunners({ leaving }, 1);
    m_selector.recordHandOver(leaving.name);
    leaving.state = state::InstanceInfo::State::Leaving;
    m_selector.setRunners({ leaving }, 1);
    EXPECT_FALSE(m_selector.select(all, {}));
    EXPECT_EQ(m_selector.outstanding(), 1);
    m_selector.recordEnd(leaving.name, std::nullopt);
    EXPECT_TRUE(m_selector.runners().empty());
}

// Guards against a retry at the runner that has just failed, unless there is no other.
TEST_F(RunnerSelectorTest, AvoidsTheRunnerOfThePreviousAttempt)
{
    m_selector.setRunners({ runner("a", "here"), runner("b", "there") }, 1);
    EXPECT_EQ(m_selector.select(all, state::InstanceId("a")), state::InstanceId("b"));
    m_selector.setRunners({ runner("a", "here") }, 1);
    EXPECT_EQ(m_selector.select(all, state::InstanceId("a")), state::InstanceId("a"));
}

} // namespace lentilsaddle::coordination
