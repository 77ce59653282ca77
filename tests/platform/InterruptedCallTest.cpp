#include "platform/BatchPlatformFactory.h"

#include "coordination/batch/JournalHooks.h"
#include "coordination/batch/WorkerHooks.h"
#include "tests/transport/InterruptingServer.h"
#include "tests/transport/ScriptedServer.h"
#include "transport/EventLoop.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>

namespace lentilsaddle::platform {

using coordination::batch::AppendResult;
using coordination::batch::BatchPlatform;
using coordination::batch::WorkerCallResult;
using std::chrono::milliseconds;
using testing_support::InterruptingServer;
using testing_support::ScriptedServer;
using Afterwards = InterruptingServer::Afterwards;
using Ending = InterruptingServer::Ending;
using Point = InterruptingServer::Point;

namespace {

    constexpr std::size_t workerConnections = 100;

    constexpr milliseconds callTimeout { 5'000 };
    constexpr const char* answer = R"({"offset":0,"end_offset":1,"clock_ms":1,"running":[],"ended":[]})";

    // Calls of one process to a server that is both its store and its worker.
    class Caller {
    public:
        Caller(const std::string& address)
            : m_platform(createBatchPlatform(m_loop, "http://" + address, workerConnections))
            , m_worker { .id = state::WorkerId("w1"), .address = address }
        {
        }

        AppendResult append(std::size_t size = 1)
        {
            AppendResult received;
            m_platform.journal.append(
                { .records = { { .key = "j/1", .value = std::string(size, 'x') } }, .timeout = callTimeout },
                [&](AppendResult result) {
                    received = std::move(result);
                    m_loop.requestStop();
                });
            m_loop.run();
            return received;
        }

        WorkerCallResult start(std::size_t size = 1)
        {
            WorkerCallResult received;
            m_platform.worker.start(m_worker,
                { .run = 1, .payload = std::string(size, 'x'), .leaseEnd = callTimeout, .fencingToken = 1 },
                callTimeout, [&](WorkerCallResult result) {
                    received = std::move(result);
                    m_loop.requestStop();
                });
            m_loop.run();
            return received;
        }

        WorkerCallResult stop()
        {
            WorkerCallResult received;
            m_platform.worker.stop(
                m_worker, { .run = 1, .fencingToken = 1 }, callTimeout, [&](WorkerCallResult result) {
                    received = std::move(result);
                    m_loop.requestStop();
                });
            m_loop.run();
            return received;
        }

    private:
        transport::EventLoop m_loop { [] {} };
        BatchPlatform m_platform;
        state::batch::BatchWorker m_worker;
    };

    // Calls the function for each way in which a request that the server has read is interrupted.
    void forEachInterruption(
        bool reused, const std::function<void(const InterruptingServer::Options&, std::size_t size)>& function)
    {
        for (Point point : { Point::AfterRequest, Point::WithinResponseHeader, Point::WithinResponseBody }) {
            for (Ending ending : { Ending::Close, Ending::Reset }) {
                for (Afterwards afterwards : { Afterwards::RefuseConnections, Afterwards::RefuseRequests }) {
                    for (std::size_t size : { 1UL, 4'000UL, 200'000UL }) {
                        SCOPED_TRACE("point " + std::to_string(static_cast<int>(point)) + ", ending "
                            + std::to_string(static_cast<int>(ending)) + ", afterwards "
                            + std::to_string(static_cast<int>(afterwards)) + ", size " + std::to_string(size)
                            + (reused ? ", reused" : ", new"));
                        function({ .answered = reused ? 1 : 0,
                                     .answer = answer,
                                     .point = point,
                                     .ending = ending,
                                     .afterwards = afterwards },
                            size);
                    }
                }
            }
        }
    }

} // namespace

// Guards against a job that is reported as refused and runs: the store has read the append, and the connection ended
// before its response.
TEST(InterruptedCallTest, AppendThatTheStoreHasReadIsUnknown)
{
    for (bool reused : { false, true }) {
        forEachInterruption(reused, [&](const InterruptingServer::Options& options, std::size_t size) {
            InterruptingServer server(options);
            Caller caller(server.address());
            if (reused) {
                ASSERT_EQ(caller.append().status, AppendResult::Status::Stored);
            }
            AppendResult result = caller.append(size);
            EXPECT_EQ(result.status, AppendResult::Status::Unknown) << result.error;
            EXPECT_NE(result.error, "Couldn't connect to server");
            EXPECT_EQ(server.requests(), reused ? 2 : 1);
        });
    }
}

// Guards against a task that runs twice: the worker has read the start, and the connection ended before its response.
TEST(InterruptedCallTest, StartThatTheWorkerHasReadIsUnknown)
{
    for (bool reused : { false, true }) {
        forEachInterruption(reused, [&](const InterruptingServer::Options& options, std::size_t size) {
            InterruptingServer server(options);
            Caller caller(server.address());
            if (reused) {
                ASSERT_EQ(caller.start().status, WorkerCallResult::Status::Done);
            }
            WorkerCallResult result = caller.start(size);
            EXPECT_EQ(result.status, WorkerCallResult::Status::Unknown) << result.error;
            EXPECT_EQ(server.requests(), reused ? 2 : 1);
        });
    }
}

// Guards against a stop that counts as acknowledged because its connection ended.
TEST(InterruptedCallTest, InterruptedStopIsNotAcknowledged)
{
    for (bool reused : { false, true }) {
        forEachInterruption(reused, [&](const InterruptingServer::Options& options, std::size_t) {
            InterruptingServer server(options);
            Caller caller(server.address());
            if (reused) {
                ASSERT_EQ(caller.stop().status, WorkerCallResult::Status::Done);
            }
            WorkerCallResult result = caller.stop();
            EXPECT_TRUE(result.status == WorkerCallResult::Status::Unknown
                || result.status == WorkerCallResult::Status::NotDelivered)
                << result.error;
        });
    }
}

// Guards against a task that runs twice: the worker has executed the start, its response was lost, and the response to
// an unnoticed second request takes its place, whatever its status.
TEST(InterruptedCallTest, LostStartIsUnknownWhateverStatusWouldFollow)
{
    for (int status : { 200, 400, 409, 421, 429, 500, 502, 503 }) {
        SCOPED_TRACE(status);
        ScriptedServer server([&](int number) -> std::optional<ScriptedServer::Response> {
            if (number == 2)
                return std::nullopt;
            return ScriptedServer::Response { .status = number == 1 ? 200 : status, .body = answer };
        });
        Caller caller(server.address());
        ASSERT_EQ(caller.start().status, WorkerCallResult::Status::Done);
        EXPECT_EQ(caller.start().status, WorkerCallResult::Status::Unknown);
        EXPECT_EQ(server.requests(), 2);
    }
}

// Guards against a job that is reported as refused and runs: the same for an append.
TEST(InterruptedCallTest, LostAppendIsUnknownWhateverStatusWouldFollow)
{
    for (int status : { 200, 400, 409, 412, 413, 429, 500, 502, 503, 507 }) {
        SCOPED_TRACE(status);
        ScriptedServer server([&](int number) -> std::optional<ScriptedServer::Response> {
            if (number == 2)
                return std::nullopt;
            return ScriptedServer::Response { .status = number == 1 ? 200 : status, .body = answer };
        });
        Caller caller(server.address());
        ASSERT_EQ(caller.append().status, AppendResult::Status::Stored);
        EXPECT_EQ(caller.append().status, AppendResult::Status::Unknown);
        EXPECT_EQ(server.requests(), 2);
    }
}

// Guards against a start, a stop or an append that counts as not executed because of a status that does not say so.
TEST(InterruptedCallTest, OnlyStatusesThatSayNothingWasDoneAreDefinite)
{
    using Status = WorkerCallResult::Status;
    for (const std::string body : { answer, "", "{", "[]" }) {
        for (int status : { 201, 204, 302, 404, 408, 429, 500, 501, 502, 503, 504 }) {
            SCOPED_TRACE(std::to_string(status) + " " + body);
            bool refused = status == 429 || status == 503;
            // A server serves one connection at a time, and the clients of the store and of the workers have their own.
            auto script = [&](int) { return std::optional(ScriptedServer::Response { status, body }); };
            ScriptedServer worker(script);
            Caller workerCaller(worker.address());
            EXPECT_EQ(workerCaller.start().status, refused ? Status::NotDelivered : Status::Unknown);
            EXPECT_EQ(workerCaller.stop().status, refused ? Status::NotDelivered : Status::Unknown);
            ScriptedServer store(script);
            Caller storeCaller(store.address());
            EXPECT_EQ(
                storeCaller.append().status, refused ? AppendResult::Status::NotStored : AppendResult::Status::Unknown);
            EXPECT_EQ(store.requests(), 1);
        }
    }
}

} // namespace lentilsaddle::platform
