#include "tests/process/ProcessTest.h"

#include <future>

namespace lentilsaddle::testing_support {

using nlohmann::json;

namespace {

    json weightOf(const std::string& account, int weight)
    {
        return { { "accounts", { { account, { { "weight", weight } } } } } };
    }

    class ConfigurationProcessTest : public ProcessTest {
    protected:
        bool waitForVersion(int version) const
        {
            return ProcessHarness::waitUntil("version " + std::to_string(version) + " is in force everywhere", [&] {
                for (int i = 0; i < m_harness.entryCount(); ++i) {
                    if (ProcessTest::version(i) != version)
                        return false;
                }
                return true;
            });
        }

        /// Waits until all instances report the log as reachable or as unreachable.
        bool waitForLogState(bool reachable) const
        {
            std::string line = std::string("lentilsaddle_log_reachable ") + (reachable ? "1" : "0");
            return ProcessHarness::waitUntil(line, [&] {
                for (int i = 0; i < m_harness.entryCount(); ++i) {
                    if (m_harness.call(i, { .path = "/metrics" }).body.find(line) == std::string::npos)
                        return false;
                }
                return true;
            });
        }

        int weight(int entry, const std::string& account) const
        {
            json configuration = m_harness.call(entry, { .path = "/v1/configuration" }).json();
            return configuration["accounts"][account]["weight"].get<int>();
        }
    };

} // namespace

// Guards against two concurrent patches on the same base version that are both reported as applied.
TEST_F(ConfigurationProcessTest, OneOfTwoConcurrentPatchesIsApplied)
{
    for (int round = 1; round <= 5; ++round) {
        auto operate = [&](int entry) {
            return patch(entry, "race-" + std::to_string(round) + "-" + std::to_string(entry), round,
                weightOf("shops", 10 * round + entry));
        };
        auto other = std::async(std::launch::async, operate, 1);
        HttpReply first = operate(0);
        HttpReply second = other.get();
        EXPECT_EQ(first.status + second.status, 200 + 409) << first.body << second.body;
        ASSERT_TRUE(waitForVersion(round + 1));
        int winner = 10 * round + (first.status == 200 ? 0 : 1);
        EXPECT_EQ(weight(0, "shops"), winner);
        EXPECT_EQ(weight(1, "shops"), winner);
    }
}

// Guards against a patch that is reported as failed, or applied twice, when the response to the append is lost.
TEST_F(ConfigurationProcessTest, PatchWithALostAppendResponseIsDecidedByReplay)
{
    m_harness.controlPlatform({ { "stream", "configuration" }, { "lose_append_answers", 1 } });
    HttpReply reply = patch(0, "lost-1", 1, weightOf("shops", 20));
    EXPECT_EQ(reply.status, 200) << reply.body;
    EXPECT_EQ(reply.json()["version"], 2);
    ASSERT_TRUE(waitForVersion(2));
    HttpReply repeated = patch(1, "lost-1", 1, weightOf("shops", 20));
    EXPECT_EQ(repeated.status, 200) << repeated.body;
    EXPECT_EQ(repeated.json()["version"], 2);
}

// Guards against a request that is not dispatched, or dispatched twice, when the response to the append of its claim
// is lost.
TEST_F(ConfigurationProcessTest, ClaimWithALostAppendResponseRunsOnce)
{
    m_harness.controlPlatform({ { "stream", "requests.pavoreserva-app" }, { "lose_append_answers", 1 } });
    HttpReply reply = request(0, { .id = "r-1", .key = "order-1" });
    EXPECT_EQ(reply.status, 200) << reply.body << reply.error;
    EXPECT_EQ(runsOfKey("order-1"), 1);
}

// Guards against a log outage that stops repeatable requests, reverts the configuration or lets a refused request run
// later.
TEST_F(ConfigurationProcessTest, LogOutageServesOnlyRepeatableRequests)
{
    ASSERT_GE(waitForScheduler(0), 0);
    m_harness.controlPlatform({ { "outage", "refuse" } });
    // A request that is sent before the outage is detected waits for its claim until its deadline.
    ASSERT_TRUE(waitForLogState(false));
    HttpReply refused = request(0, { .id = "r-out", .key = "order-out" });
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.header("request-outcome"), "not-run") << refused.body;
    EXPECT_EQ(refused.json()["error"], "log_unavailable");
    EXPECT_EQ(runsOfKey("order-out"), 0);
    EXPECT_EQ(request(0, { .id = "r-repeatable" }).status, 200);
    EXPECT_EQ(request(1, { .id = "r-repeatable-2" }).status, 200);
    EXPECT_EQ(submit(0, "job-out", 1).status, 503);
    EXPECT_GE(patch(0, "patch-out", 1, weightOf("shops", 30)).status, 500);
    EXPECT_EQ(version(0), 1);
    EXPECT_EQ(version(1), 1);
    m_harness.controlPlatform({ { "outage", "none" } });
    m_harness.waitUntil("non-repeatable requests are served again",
        [&] { return request(0, { .id = "r-out-2", .key = "order-out" }).header("request-outcome") == "done"; });
    EXPECT_EQ(runsOfKey("order-out"), 1);
}

// Guards against an instance that restarts during a log outage with an empty configuration.
TEST_F(ConfigurationProcessTest, RestartInALogOutageLoadsTheConfigurationFromAPeer)
{
    m_harness.controlPlatform({ { "outage", "refuse" } });
    m_harness.entry(1).kill();
    m_harness.startEntry(1);
    ASSERT_TRUE(m_harness.waitUntil("the instance is ready", [this] { return m_harness.ready(1); }));
    EXPECT_EQ(version(1), 1);
    EXPECT_EQ(request(1, { .id = "r-1" }).status, 200);
}

// Guards against an instance that serves an empty configuration because neither the log nor a peer is reachable.
TEST_F(ConfigurationProcessTest, RestartWithoutLogAndPeersServesNothing)
{
    m_harness.controlPlatform({ { "outage", "drop" } });
    m_harness.entry(0).kill();
    m_harness.entry(1).kill();
    m_harness.startEntry(1);
    m_harness.waitUntil("the instance responds", [this] { return m_harness.status(1).is_object(); });
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(m_harness.ready(1));
        HttpReply reply = request(1, { .id = "r-" + std::to_string(i) });
        EXPECT_EQ(reply.status, 503) << reply.body;
        EXPECT_EQ(reply.header("request-outcome"), "not-run");
    }
    m_harness.controlPlatform({ { "outage", "none" } });
    m_harness.waitUntil("the instance recovers with the log", [this] { return m_harness.ready(1); });
    EXPECT_EQ(version(1), 1);
}

// Guards against a paused instance that reverts to an older version or never applies the newer ones.
TEST_F(ConfigurationProcessTest, PausedInstanceCatchesUp)
{
    m_harness.entry(1).pause();
    for (int base = 1; base <= 3; ++base)
        EXPECT_EQ(patch(0, "pause-" + std::to_string(base), base, weightOf("shops", base)).status, 200);
    m_harness.entry(1).resume();
    EXPECT_TRUE(waitForVersion(4));
}

// Guards against repeatable requests that fail while the instance list and the log are both unavailable.
TEST_F(ConfigurationProcessTest, BlockedAppendsDoNotStopRepeatableRequests)
{
    m_harness.controlPlatform({ { "block_appends", true }, { "lists", "refuse" } });
    EXPECT_EQ(request(0, { .id = "r-1" }).status, 200);
    HttpReply refused = request(0, { .id = "r-2", .key = "order-1", .deadlineMs = 4'000 });
    EXPECT_NE(refused.header("request-outcome"), "done") << refused.body;
    m_harness.controlPlatform({ { "block_appends", false }, { "lists", "none" } });
    EXPECT_EQ(request(0, { .id = "r-3" }).status, 200);
    EXPECT_LE(runsOfKey("order-1"), 1);
    if (refused.header("request-outcome") == "not-run") {
        EXPECT_EQ(runsOfKey("order-1"), 0);
    }
}

} // namespace lentilsaddle::testing_support
