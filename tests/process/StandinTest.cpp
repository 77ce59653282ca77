// The other process tests rely on the faults and journals of the stand-ins, so these are tested too.
#include "tests/process/ProcessHarness.h"

#include <gtest/gtest.h>

#include <csignal>

namespace lentilsaddle::testing_support {

using nlohmann::json;

namespace {

    class StandinTest : public testing::Test {
    protected:
        static HttpReply post(std::uint16_t port, const std::string& path, const json& body)
        {
            return callHttp({ .method = "POST", .port = port, .path = path, .body = body.dump() });
        }

        HttpReply append() const
        {
            return post(m_harness.platformPort(), "/log/streams/s/records", { { "records", { "YWJj" } } });
        }

        HttpReply worker(const std::string& call, json body) const
        {
            body.update({ { "sequence", 1 }, { "job", "j" }, { "attempt", 1 } });
            return post(m_harness.workerPort(0), "/workers/norte-ovi-0000/" + call, body);
        }

        ProcessHarness m_harness { { .workersPerDataCentre = 1, .backendServersPerDataCentre = 1 } };
    };

} // namespace

// Guards against processes that outlive their test and keep its ports in use.
TEST(ChildProcessTest, IsReaped)
{
    pid_t id = 0;
    {
        ChildProcess process({ "/bin/sleep", "1000" }, "/dev/null");
        id = process.id();
        EXPECT_FALSE(process.ended());
    }
    EXPECT_NE(::kill(id, 0), 0);
}

// Guards against a fault that also discards the append, so that tests of a lost response would test nothing.
TEST_F(StandinTest, AppendWithALostResponseTakesEffectOnce)
{
    m_harness.controlPlatform({ { "stream", "s" }, { "lose_append_answers", 1 } });
    EXPECT_EQ(append().status, 0);
    EXPECT_EQ(append().status, 200);
    EXPECT_EQ(m_harness.streams()["s"]["records"], 2);
}

// Guards against an outage that lets an append through or continues after it was cleared.
TEST_F(StandinTest, OutageRefusesAppendsUntilItEnds)
{
    m_harness.controlPlatform({ { "outage", "refuse" } });
    EXPECT_EQ(append().status, 503);
    m_harness.controlPlatform({ { "outage", "drop" } });
    EXPECT_EQ(append().status, 0);
    m_harness.controlPlatform({ { "outage", "none" } });
    EXPECT_EQ(append().json()["first_offset"], 0);
}

// Guards against a task that outlives its lease or starts without one, which would hide partial gangs.
TEST_F(StandinTest, WorkerStopsATaskWhoseLeaseExpires)
{
    json token { { "epoch", 2 }, { "payload", R"({"run_ms":600000})" } };
    EXPECT_EQ(worker("start", token).json()["error"], "no_lease");
    EXPECT_EQ(worker("lease", { { "epoch", 2 }, { "accelerators", { 0 } }, { "ttl_ms", 300 } }).status, 200);
    EXPECT_EQ(worker("start", token).status, 200);
    EXPECT_EQ(worker("fence", { { "epoch", 1 } }).json()["error"], "fenced");
    m_harness.waitUntil("the lease expires", [this] { return m_harness.workerJournal()[0]["reason"] == "lapsed"; });
    json run = m_harness.workerJournal()[0];
    EXPECT_GE(run["end_ms"].get<long>(), run["start_ms"].get<long>());
    EXPECT_EQ(worker("start", token).json()["error"], "no_lease");
}

// Guards against a run that the journal does not count because its response was lost.
TEST_F(StandinTest, BackendServerCountsARunWhoseResponseIsLost)
{
    m_harness.controlBackend(0, { { "drop_after_run", true } });
    BlockingRequest request { .method = "POST", .port = m_harness.backendPort(0), .path = "/x" };
    request.headers = { { "Request-Id", "r" }, { "Idempotency-Key", "k" } };
    EXPECT_EQ(callHttp(request).status, 0);
    EXPECT_EQ(m_harness.backendJournal()["request_ids"]["r"], 1);
    EXPECT_EQ(m_harness.backendJournal()["idempotency_keys"]["k"], 1);
}

} // namespace lentilsaddle::testing_support
