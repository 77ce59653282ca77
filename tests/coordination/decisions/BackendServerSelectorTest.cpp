#include "coordination/decisions/BackendServerSelector.h"

#include <gtest/gtest.h>

#include <random>

namespace lentilsaddle::coordination {

namespace {

    class BackendServerSelectorTest : public testing::Test {
    protected:
        static state::InstanceInfo server(const std::string& name, const std::string& dataCentre)
        {
            return {
                .name = state::InstanceId(name),
                .kind = state::InstanceInfo::Kind::BackendServer,
                .dataCentre = state::DataCentreId(dataCentre),
            };
        }

        static bool all(const state::InstanceId&) { return true; }

        std::mt19937_64 m_engine { 20261204 };
        BackendServerSelector m_selector { state::DataCentreId("here"), { .random = [this] { return m_engine(); } } };
    };

} // namespace

// Guards against traffic between data centres while the local one has room, and against idle remote runners when not.
TEST_F(BackendServerSelectorTest, LocalDataCentreComesFirst)
{
    m_selector.setService({ .slotsPerServer = 2 });
    m_selector.setServers({ server("local", "here"), server("remote", "there") }, 1);
    for (const char* expected : { "local", "local", "remote", "remote" }) {
        std::optional<state::InstanceId> chosen = m_selector.select(all, {});
        ASSERT_TRUE(chosen);
        EXPECT_EQ(chosen->value(), expected);
        m_selector.recordDispatch(*chosen);
    }
    EXPECT_FALSE(m_selector.select(all, {}));
}

// Guards against herding on one runner: two random choices keep the largest load close to the mean.
TEST_F(BackendServerSelectorTest, TwoChoicesKeepTheLoadsClose)
{
    std::vector<state::InstanceInfo> servers;
    servers.reserve(48);
    for (int i = 0; i < 48; ++i)
        servers.push_back(server("r" + std::to_string(i), "here"));
    m_selector.setService({ .slotsPerServer = 64 });
    m_selector.setServers(servers, 1);
    for (int i = 0; i < 48 * 8; ++i)
        m_selector.recordDispatch(*m_selector.select(all, {}));
    for (const auto& [id, entry] : m_selector.servers())
        EXPECT_LE(entry.outstanding, 8 + 3) << id.value();
}

// Guards against instances that together exceed a runner's connections, or its slots once others use them.
TEST_F(BackendServerSelectorTest, UsesOnlyItsShareOfARunner)
{
    m_selector.setService({ .slotsPerServer = 1000, .connectionsPerServer = 64 });
    m_selector.setServers({ server("r", "here") }, 6);
    int taken = 0;
    for (; m_selector.select(all, {}); ++taken)
        m_selector.recordDispatch(state::InstanceId("r"));
    EXPECT_EQ(taken, 10);
    m_selector.setService({ .slotsPerServer = 8, .connectionsPerServer = 64 });
    for (; taken > 0; --taken)
        m_selector.recordCompletion(state::InstanceId("r"), 7);
    for (; m_selector.select(all, {}); ++taken)
        m_selector.recordDispatch(state::InstanceId("r"));
    EXPECT_EQ(taken, 2);
}

// Guards against new work for a leaving runner, and against losing count of the requests that it still serves.
TEST_F(BackendServerSelectorTest, LeavingRunnerGetsNothingNew)
{
    state::InstanceInfo leaving = server("r", "here");
    m_selector.setServers({ leaving }, 1);
    m_selector.recordDispatch(leaving.name);
    leaving.state = state::InstanceInfo::State::Leaving;
    m_selector.setServers({ leaving }, 1);
    EXPECT_FALSE(m_selector.select(all, {}));
    EXPECT_EQ(m_selector.outstanding(), 1);
    m_selector.recordCompletion(leaving.name, std::nullopt);
    EXPECT_TRUE(m_selector.servers().empty());
}

// Guards against a retry at the runner that has just failed, unless there is no other.
TEST_F(BackendServerSelectorTest, AvoidsTheRunnerOfThePreviousAttempt)
{
    m_selector.setServers({ server("a", "here"), server("b", "there") }, 1);
    EXPECT_EQ(m_selector.select(all, state::InstanceId("a")), state::InstanceId("b"));
    m_selector.setServers({ server("a", "here") }, 1);
    EXPECT_EQ(m_selector.select(all, state::InstanceId("a")), state::InstanceId("a"));
}

} // namespace lentilsaddle::coordination
