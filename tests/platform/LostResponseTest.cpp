#include "platform/BatchPlatformFactory.h"

#include "coordination/batch/JournalHooks.h"
#include "tests/transport/ScriptedServer.h"
#include "transport/EventLoop.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace lentilsaddle::platform {

using coordination::batch::AppendResult;
using coordination::batch::BatchPlatform;
using std::chrono::milliseconds;
using testing_support::ScriptedServer;

namespace {

    constexpr milliseconds callTimeout { 2'000 };
    constexpr const char* acceptedBody = R"({"offset":0,"end_offset":1})";

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

    // Calls to such a server, as the store, over connections that stay open.
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

        ScriptedServer m_server { executeAndClose };
        transport::EventLoop m_loop { [] {} };
        BatchPlatform m_platform = createBatchPlatform(m_loop, m_server.url());
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

} // namespace lentilsaddle::platform
