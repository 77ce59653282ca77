#include "tests/process/ProcessTest.h"

#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace lentilsaddle::testing_support {

using nlohmann::json;

namespace {

    class RequestProcessTest : public ProcessTest { };

} // namespace

// Guards against a duplicate order when a caller repeats a request at another instance.
TEST_F(RequestProcessTest, NonRepeatableRetryAtAnotherInstanceRunsOnce)
{
    HttpReply first = request(0, { .id = "r-1", .key = "order-1" });
    EXPECT_EQ(first.status, 200) << first.body;
    EXPECT_EQ(first.header("request-outcome"), "done");
    HttpReply retry = request(1, { .id = "r-2", .key = "order-1" });
    EXPECT_NE(retry.header("request-outcome"), "not-run") << retry.body;
    EXPECT_EQ(runsOfKey("order-1"), 1);
}

// Guards against two claims that both hand over when instances race on one key.
TEST_F(RequestProcessTest, ConcurrentRequestsWithOneKeyRunOnce)
{
    std::vector<std::future<HttpReply>> replies;
    replies.reserve(8);
    for (int i = 0; i < 8; ++i)
        replies.push_back(std::async(std::launch::async,
            [this, i] { return request(i % 2, { .id = "race-" + std::to_string(i), .key = "order-race" }); }));
    for (auto& reply : replies)
        EXPECT_NE(reply.get().status, 0);
    EXPECT_EQ(runsOfKey("order-race"), 1);
}

// Guards against a second run after the instance that handed the request over has died.
TEST_F(RequestProcessTest, KillDuringNonRepeatableRequestNeverRunsItAgain)
{
    auto caller = std::async(
        std::launch::async, [this] { return request(0, { .id = "r-1", .key = "order-1", .workMs = 2'000 }); });
    ASSERT_TRUE(m_harness.waitUntil("the request runs", [this] { return runsOfKey("order-1") == 1; }));
    m_harness.entry(0).kill();
    EXPECT_EQ(caller.get().status, 0);
    EXPECT_EQ(request(1, { .id = "r-2", .key = "order-1" }).header("request-outcome"), "unknown");
    m_harness.startEntry(0);
    ASSERT_TRUE(m_harness.waitUntil("the instance is ready again", [this] { return m_harness.ready(0); }));
    ASSERT_TRUE(waitForLedger(0));
    EXPECT_EQ(request(0, { .id = "r-3", .key = "order-1" }).header("request-outcome"), "unknown");
    EXPECT_EQ(runsOfKey("order-1"), 1);
}

// Guards against a claim that takes effect after its issuer died and is then taken for another issuer's claim.
TEST_F(RequestProcessTest, KillDuringClaimRunsAtMostOnce)
{
    m_harness.controlPlatform({ { "stream", "requests.pavoreserva-app" }, { "block_appends", true } });
    auto caller = std::async(std::launch::async, [this] { return request(0, { .id = "r-1", .key = "order-1" }); });
    auto rival = std::async(std::launch::async, [this] { return request(1, { .id = "r-2", .key = "order-1" }); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    m_harness.entry(0).kill();
    m_harness.controlPlatform({ { "stream", "requests.pavoreserva-app" }, { "block_appends", false } });
    EXPECT_EQ(caller.get().status, 0);
    HttpReply reply = rival.get();
    EXPECT_NE(reply.status, 0) << reply.error;
    int runs = runsOfKey("order-1");
    EXPECT_LE(runs, 1);
    if (reply.header("request-outcome") == "not-run") {
        EXPECT_EQ(runs, 0);
    }
    if (reply.header("request-outcome") == "done") {
        EXPECT_EQ(runs, 1);
    }
}

// Guards against a planned stop that cuts requests in hand.
TEST_F(RequestProcessTest, TerminationUnderLoadCutsNoRequest)
{
    std::atomic<int> served { 0 };
    std::atomic<int> cut { 0 };
    std::atomic<bool> end { false };
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i)
        callers.emplace_back([&, i] {
            // Like a balancer, a caller leaves an instance that refuses or announces the end of the connection.
            for (int n = 0, entry = 0; !end; ++n) {
                HttpReply reply
                    = request(entry, { .id = "load-" + std::to_string(i) + "-" + std::to_string(n), .workMs = 30 });
                served += reply.status == 200;
                cut += reply.status == 0 && !reply.refusedConnection;
                if (reply.status != 200 || reply.header("connection") == "close")
                    entry = 1;
            }
        });
    m_harness.waitUntil("load runs", [&] { return served > 50; });
    m_harness.entry(0).terminate();
    m_harness.waitUntil("the instance ends", [this] { return m_harness.entry(0).ended(); });
    int servedAtEnd = served;
    m_harness.waitUntil("the other instance serves", [&] { return served > servedAtEnd + 20; });
    end = true;
    for (std::thread& caller : callers)
        caller.join();
    EXPECT_EQ(cut, 0);
    EXPECT_EQ(m_harness.entry(0).exitCode(), 0);
}

// Guards against work that is sent to a backend server after the instance list says that it leaves.
TEST_F(RequestProcessTest, LeavingBackendServerGetsNoNewWork)
{
    int sent = 0;
    auto serve = [&](int count) {
        for (int i = 0; i < count; ++i) {
            HttpReply reply = request(sent % 2, { .id = "leave-" + std::to_string(sent) });
            ++sent;
            EXPECT_EQ(reply.status, 200) << reply.body << reply.error;
        }
        return m_harness.backendJournal()["servers"][0]["runs"].get<int>();
    };
    ASSERT_TRUE(m_harness.waitUntil("both servers are used", [&] { return serve(10) > 0; }));
    m_harness.announceInstances({ { "backend-norte-ovi-0", "leaving" } });
    int runs = serve(20);
    ASSERT_TRUE(m_harness.waitUntil("the server gets no work", [&] { return std::exchange(runs, serve(20)) == runs; }));
    EXPECT_EQ(serve(100), runs);
}

// Guards against a server that announces its end itself while the instance list lags.
TEST_F(RequestProcessTest, ServerThatClosesConnectionsGetsNoNewWork)
{
    m_harness.controlBackend(0, { { "server", 0 }, { "leaving", true } });
    int sent = 0;
    auto serve = [&](int count) {
        for (int i = 0; i < count; ++i)
            EXPECT_EQ(request(0, { .id = "close-" + std::to_string(sent++) }).status, 200);
        return m_harness.backendJournal()["servers"][0]["runs"].get<int>();
    };
    int runs = serve(20);
    ASSERT_TRUE(m_harness.waitUntil("the server gets no work", [&] { return std::exchange(runs, serve(20)) == runs; }));
    EXPECT_EQ(serve(100), runs);
}

// Guards against answers that are cut or crossed when a backend server answers late.
TEST_F(RequestProcessTest, LateAnswersReachTheirOwnCallers)
{
    m_harness.controlBackend(0, { { "server", 1 }, { "answer_delay_ms", 300 } });
    std::vector<std::future<void>> callers;
    callers.reserve(16);
    for (int i = 0; i < 16; ++i)
        callers.push_back(std::async(std::launch::async, [this, i] {
            std::string id = "late-" + std::to_string(i);
            HttpReply reply = request(i % 2, { .id = id, .workMs = i });
            std::string sent = json({ { "work_ms", i } }).dump();
            EXPECT_EQ(reply.status, 200) << reply.body << reply.error;
            EXPECT_EQ(reply.json()["request_id"], id);
            EXPECT_EQ(reply.json()["digest"], std::to_string(std::hash<std::string> {}(sent)));
            EXPECT_EQ(reply.header("request-id"), id);
        }));
    for (auto& caller : callers)
        caller.get();
}

// Guards against a failing server's requests being reported as not run or as served.
TEST_F(RequestProcessTest, LostAnswerOfNonRepeatableRequestIsUnknown)
{
    m_harness.controlBackend(0, { { "drop_after_run", true } });
    HttpReply reply = request(0, { .id = "r-1", .key = "order-1" });
    EXPECT_EQ(reply.header("request-outcome"), "unknown") << reply.body;
    m_harness.controlBackend(0, { { "drop_after_run", false } });
    EXPECT_EQ(request(1, { .id = "r-2", .key = "order-1" }).header("request-outcome"), "unknown");
    EXPECT_EQ(runsOfKey("order-1"), 1);
}

} // namespace lentilsaddle::testing_support
