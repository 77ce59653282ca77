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

// Guards against two instances that both dispatch when they claim one idempotency key concurrently.
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

// Guards against a second run after the instance that dispatched the request was killed.
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

// Guards against a claim that takes effect after its issuer was killed and that another instance then mistakes for its
// own.
TEST_F(RequestProcessTest, KillDuringClaimRunsAtMostOnce)
{
    m_harness.controlPlatform({ { "stream", "requests.pavoreserva-app" }, { "block_appends", true } });
    auto caller = std::async(std::launch::async, [this] { return request(0, { .id = "r-1", .key = "order-1" }); });
    auto competitor = std::async(std::launch::async, [this] { return request(1, { .id = "r-2", .key = "order-1" }); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    m_harness.entry(0).kill();
    m_harness.controlPlatform({ { "stream", "requests.pavoreserva-app" }, { "block_appends", false } });
    EXPECT_EQ(caller.get().status, 0);
    HttpReply reply = competitor.get();
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

// Guards against a planned stop that interrupts in-flight requests.
TEST_F(RequestProcessTest, TerminationUnderLoadInterruptsNoRequest)
{
    std::atomic<int> served { 0 };
    std::atomic<int> interrupted { 0 };
    std::atomic<bool> stop { false };
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i)
        callers.emplace_back([&, i] {
            // Like a load balancer, a caller switches to the other instance on an error or on `Connection: close`.
            for (int n = 0, entry = 0; !stop; ++n) {
                HttpReply reply
                    = request(entry, { .id = "load-" + std::to_string(i) + "-" + std::to_string(n), .workMs = 30 });
                served += reply.status == 200;
                interrupted += reply.status == 0 && !reply.connectionRefused;
                if (reply.status != 200 || reply.header("connection") == "close")
                    entry = 1;
            }
        });
    m_harness.waitUntil("load runs", [&] { return served > 50; });
    m_harness.entry(0).terminate();
    m_harness.waitUntil("the instance ends", [this] { return m_harness.entry(0).ended(); });
    int servedAtEnd = served;
    m_harness.waitUntil("the other instance serves", [&] { return served > servedAtEnd + 20; });
    stop = true;
    for (std::thread& caller : callers)
        caller.join();
    EXPECT_EQ(interrupted, 0);
    EXPECT_EQ(m_harness.entry(0).exitCode(), 0);
}

// Guards against requests that are dispatched to a backend server after the instance list marks it as leaving.
TEST_F(RequestProcessTest, LeavingBackendServerGetsNoNewRequest)
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
    m_harness.publishInstanceList({ { "backend-norte-ovi-0", "leaving" } });
    int runs = serve(20);
    ASSERT_TRUE(m_harness.waitUntil("the server gets no work", [&] { return std::exchange(runs, serve(20)) == runs; }));
    EXPECT_EQ(serve(100), runs);
}

// Guards against requests that are dispatched to a leaving backend server that announces it with `Connection: close`
// before the instance list does.
TEST_F(RequestProcessTest, ServerThatClosesConnectionsGetsNoNewRequest)
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

// Guards against truncated or mismatched responses when a backend server responds late.
TEST_F(RequestProcessTest, LateResponsesReachTheirOwnCallers)
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

// Guards against reporting a request as not run or as done when the backend server runs it but sends no response.
TEST_F(RequestProcessTest, LostResponseOfNonRepeatableRequestIsUnknown)
{
    m_harness.controlBackend(0, { { "drop_after_run", true } });
    HttpReply reply = request(0, { .id = "r-1", .key = "order-1" });
    EXPECT_EQ(reply.header("request-outcome"), "unknown") << reply.body;
    m_harness.controlBackend(0, { { "drop_after_run", false } });
    EXPECT_EQ(request(1, { .id = "r-2", .key = "order-1" }).header("request-outcome"), "unknown");
    EXPECT_EQ(runsOfKey("order-1"), 1);
}

} // namespace lentilsaddle::testing_support
