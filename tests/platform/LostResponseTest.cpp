#include "platform/BatchPlatformFactory.h"

#include "coordination/batch/JournalHooks.h"
#include "coordination/batch/WorkerHooks.h"
#include "tests/transport/ScriptedServer.h"
#include "transport/EventLoop.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace lentilsaddle::platform {

using coordination::batch::AppendResult;
using coordination::batch::BatchPlatform;
using coordination::batch::Observation;
using coordination::batch::WorkerCallResult;
using std::chrono::milliseconds;
using testing_support::ScriptedServer;

namespace {

    constexpr std::size_t workerConnections = 100;

    constexpr milliseconds callTimeout { 2'000 };
    constexpr const char* acceptedBody = R"({"offset":0,"end_offset":1,"clock_ms":1,"running":[],"ended":[]})";

    // A server that executes the second request and closes its connection without a response, and refuses all later
    // requests.
    std::optional<ScriptedServer::Response> executeAndClose(int number)
    {
        if (number == 1)
            return ScriptedServer::Response { .status = 200, .body = acceptedBody };
        if (number == 2)
            return std::nullopt;
        return ScriptedServer::Response { .status = 503, .body = "{}" };
    }

    // Calls to such a server, as the store and as a worker, over connections that stay open.
    class LostResponseTest : public testing::Test {
    protected:
        AppendResult append()
        {
            AppendResult received;
            m_platform.journal.append(
                { .records = { { .key = "j/1", .value = "x" } }, .timeout = callTimeout }, [&](AppendResult result) {
                    received = std::move(result);
                    m_loop.requestStop();
                });
            m_loop.run();
            return received;
        }

        WorkerCallResult start()
        {
            WorkerCallResult received;
            m_platform.worker.start(m_worker, { .run = 1, .payload = "x", .leaseEnd = callTimeout, .fencingToken = 1 },
                callTimeout, [&](WorkerCallResult result) {
                    received = std::move(result);
                    m_loop.requestStop();
                });
            m_loop.run();
            return received;
        }

        Observation observe()
        {
            Observation received;
            m_platform.worker.observe(m_worker, { .fencingToken = 1 }, callTimeout, [&](Observation observation) {
                received = std::move(observation);
                m_loop.requestStop();
            });
            m_loop.run();
            return received;
        }

        ScriptedServer m_server { executeAndClose };
        transport::EventLoop m_loop { [] {} };
        BatchPlatform m_platform = createBatchPlatform(m_loop, m_server.url(), workerConnections);
        state::batch::BatchWorker m_worker { .id = state::WorkerId("w1"), .address = m_server.address() };
    };

} // namespace

// Guards against a job that is reported as refused and runs: the store has stored it, its response was lost, and the
// refusal of an unnoticed second request took its place.
TEST_F(LostResponseTest, AppendIsUnknownWhenARefusalWouldFollow)
{
    ASSERT_EQ(append().status, AppendResult::Status::Stored);
    EXPECT_EQ(append().status, AppendResult::Status::Unknown);
    EXPECT_EQ(m_server.requests(), 2);
}

// Guards against a task that runs twice: the worker has executed the start, its response was lost, and the refusal of
// an unnoticed second request lets the task start on another worker.
TEST_F(LostResponseTest, StartIsUnknownWhenARefusalWouldFollow)
{
    ASSERT_EQ(start().status, WorkerCallResult::Status::Done);
    EXPECT_EQ(start().status, WorkerCallResult::Status::Unknown);
    EXPECT_EQ(m_server.requests(), 2);
}

// Guards against a worker that counts as unresponsive because one of its connections was closed.
TEST_F(LostResponseTest, ObservationIsRepeatedOnce)
{
    ASSERT_EQ(observe().result.status, WorkerCallResult::Status::Done);
    EXPECT_EQ(observe().result.status, WorkerCallResult::Status::NotDelivered);
    EXPECT_EQ(m_server.requests(), 3);
}

} // namespace lentilsaddle::platform
