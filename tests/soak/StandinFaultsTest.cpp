#include "tests/process/BlockingHttp.h"
#include "tests/process/FreePorts.h"
#include "tests/soak/FaultProxy.h"
#include "tests/standin/BatchRunnerHostTask.h"
#include "tests/standin/KeyedStoreTask.h"

#include <gtest/gtest.h>

#include <thread>

namespace lentilsaddle::standin {

namespace {

    using nlohmann::json;
    using soak::FaultProxy;
    using soak::FaultProxyMode;
    using std::chrono::milliseconds;
    using testing_support::callHttp;
    using testing_support::HttpReply;

    constexpr milliseconds callTimeout { 2'000 };

    HttpReply post(std::uint16_t port, const std::string& path, const std::string& body)
    {
        return callHttp({ .method = "POST", .port = port, .path = path, .body = body, .timeout = callTimeout });
    }

    // Waits until new connections are refused or accepted; a proxy applies its mode on its own thread.
    bool waitUntilRefused(const testing_support::BlockingRequest& request, bool refused)
    {
        auto deadline = std::chrono::steady_clock::now() + callTimeout;
        while (callHttp(request).connectionRefused != refused) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(milliseconds(5));
        }
        return true;
    }

    // Store with two ports, one for each of two callers.
    class StoreFaultsTest : public testing::Test {
    protected:
        StoreFaultsTest() { m_store.start(); }

        void control(const json& body) const { ASSERT_EQ(post(m_port, "/control", body.dump()).status, 200); }

        // Body of an append of the value "v" to the key "k".
        static std::string appendBody() { return { "\0\0\0\3\1kv", 7 }; }

        HttpReply append(int caller) const
        {
            return post(static_cast<std::uint16_t>(m_port + caller), "/-/log-append?topic=t", appendBody());
        }

        std::size_t storedRecords() const
        {
            return callHttp({ .port = m_port, .path = "/history?topic=t&key=k", .timeout = callTimeout }).json().size();
        }

        std::uint16_t m_port = testing_support::findFreePorts(2);
        KeyedStoreTask m_store { { .firstPort = m_port, .count = 2 }, 1 };
    };

    class WorkerFaultsTest : public testing::Test {
    protected:
        WorkerFaultsTest() { m_workers.start(); }

        void control(double refusedShare, double cutShare) const
        {
            json faults { { "unhealthy", json::array({ 0, refusedShare, cutShare }) } };
            ASSERT_EQ(post(m_port, "/control", faults.dump()).status, 200);
        }

        HttpReply start() const
        {
            json command { { "task", "a.0.0.0" }, { "run", 1 }, { "spec", R"({"work_ms":60000,"gpu":1})" },
                { "deadline_ms", 60'000 } };
            return post(m_port, "/-/run-start", command.dump());
        }

        std::size_t startedRuns() const
        {
            return callHttp({ .port = m_port, .path = "/journal", .timeout = callTimeout }).json().at("spans").size();
        }

        std::uint16_t m_port = testing_support::findFreePorts(1);
        BatchRunnerHostTask m_workers { { .firstPort = m_port }, 8, 1 };
    };

} // namespace

// Guards against a soak whose end of one store fault ends the others too, so that faults never overlap.
TEST_F(StoreFaultsTest, EndOfOneFaultLeavesTheOthersInForce)
{
    control({ { "begin", "a" }, { "refuse", true } });
    control({ { "begin", "b" }, { "refuse", true } });
    control({ { "end", "a" } });
    EXPECT_EQ(append(0).status, 503);
    control({ { "end", "b" } });
    EXPECT_EQ(append(0).status, 200);
}

// Guards against a fault of one instance that disturbs the other instances.
TEST_F(StoreFaultsTest, FaultOfOnePortLeavesTheOthersServed)
{
    control({ { "begin", "a" }, { "refuse", true }, { "ports", json::array({ 1 }) } });
    EXPECT_EQ(append(0).status, 200);
    EXPECT_EQ(append(1).status, 503);
}

// Guards against a soak in which an append without a response never took effect, or whose repetition is not refused.
TEST_F(StoreFaultsTest, CutAppendIsStoredOnceAndItsRepetitionRefused)
{
    control({ { "begin", "a" }, { "cut_then_refuse", true }, { "ports", json::array({ 1 }) } });
    EXPECT_EQ(append(1).status, 0);
    EXPECT_EQ(storedRecords(), 1U);
    EXPECT_EQ(append(1).status, 503);
    EXPECT_EQ(storedRecords(), 1U);
    EXPECT_EQ(append(0).status, 200);
}

// Guards against a proxy that drops the request of a cut response, or accepts connections while it refuses them.
TEST_F(StoreFaultsTest, ProxyDeliversTheRequestOfACutResponseAndRefusesConnections)
{
    std::uint16_t proxyPort = testing_support::findFreePorts(1);
    FaultProxy proxy(proxyPort, m_port);
    proxy.start();
    testing_support::HttpSession session;
    testing_support::BlockingRequest request {
        .method = "POST",
        .port = proxyPort,
        .path = "/-/log-append?topic=t",
        .body = appendBody(),
        .timeout = callTimeout,
    };
    ASSERT_EQ(session.call(request).status, 200);
    proxy.post({ .kind = FaultProxyMode::Kind::CutResponses });
    ASSERT_TRUE(waitUntilRefused(request, true));
    std::size_t stored = storedRecords();
    EXPECT_EQ(session.call(request).status, 0);
    EXPECT_EQ(storedRecords(), stored + 1);
    proxy.post({});
    ASSERT_TRUE(waitUntilRefused(request, false));
    EXPECT_EQ(callHttp(request).status, 200);
}

// Guards against a worker stand-in that executes what it refuses.
TEST_F(WorkerFaultsTest, RefusedStartIsNotExecuted)
{
    control(1, 0);
    int status = start().status;
    EXPECT_TRUE(status == 429 || status == 503) << status;
    EXPECT_EQ(startedRuns(), 0U);
}

// Guards against a worker stand-in that does not execute a start whose response is lost.
TEST_F(WorkerFaultsTest, CutStartIsExecuted)
{
    control(0, 1);
    EXPECT_EQ(start().status, 0);
    EXPECT_EQ(startedRuns(), 1U);
}

} // namespace lentilsaddle::standin
