#include "coordination/TaskEnvironment.h"
#include "platform/BatchApiTask.h"
#include "state/batch/BatchConfiguration.h"
#include "tests/process/FreePorts.h"
#include "transport/EventLoop.h"
#include "transport/HttpClient.h"
#include "transport/Metrics.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace lentilsaddle::platform {

namespace {

    // Batch API on loopback whose batch task never replies.
    class FullRequestMemoryTest : public testing::Test {
    protected:
        FullRequestMemoryTest()
            : m_firstPort(testing_support::findFreePorts(2))
            , m_task({ .metrics = &m_metrics },
                  { .apiAddress = endpoint(0), .readyAddress = endpoint(1), .memoryMegabytes = 1 },
                  { .postBatch = [](const coordination::batch::BatchMessage&) {} })
        {
            state::batch::BatchConfiguration configuration;
            configuration.queues.push_back({ .host = "127.0.0.1", .pathPrefix = "/q/", .anonymousAccess = true });
            m_task.start();
            m_task.post({ .body = BatchApiMessage::Configure {
                              std::make_shared<const state::batch::BatchConfiguration>(configuration) } });
            m_task.post({ .body = BatchApiMessage::Readiness { .ready = true } });
        }

        std::string endpoint(int index) const { return "127.0.0.1:" + std::to_string(m_firstPort + index); }

        transport::HttpCall call(int index, const std::string& path, const std::string& body = "") const
        {
            transport::HttpCall call { .method = "GET", .url = "http://" + endpoint(index) + path, .body = body };
            call.timeout = std::chrono::seconds(5);
            return call;
        }

        std::uint16_t m_firstPort;
        transport::Metrics m_metrics;
        transport::EventLoop m_loop { [] {} };
        transport::HttpClient m_client { m_loop, { .maximumConnectionsPerHost = 200, .maximumConnections = 250 } };
        BatchApiTask m_task;
    };

} // namespace

// Guards against a process that is taken for not ready because requests that run hold all the memory.
TEST_F(FullRequestMemoryTest, ReadinessIsAnswered)
{
    int refused = 0;
    transport::HttpResult answer;
    auto probe = [&](const transport::HttpResult& result) {
        if (result.response.status != 503 || ++refused > 1)
            return;
        // Larger than the request that found no room.
        transport::HttpCall readiness = call(1, "/-/ready");
        readiness.headers["filler"] = std::string(100, 'x');
        m_client.send(readiness, [&](transport::HttpResult received) {
            answer = std::move(received);
            m_loop.requestStop();
        });
    };
    for (int index = 0; index < 160; ++index)
        m_client.send(call(0, "/q/00000000000000aa", std::string(13'000, ' ')), [](const transport::HttpResult&) {});
    // Small requests take what is left once the others have arrived.
    std::function<void()> fill = [&] {
        if (refused > 0)
            return;
        for (int small = 0; small < 12; ++small)
            m_client.send(call(0, "/q/00000000000000bb"), probe);
        m_loop.startTimer(std::chrono::milliseconds(100), fill);
    };
    m_loop.startTimer(std::chrono::milliseconds(100), fill);
    m_loop.startTimer(std::chrono::seconds(5), [this] { m_loop.requestStop(); });
    m_loop.run();
    EXPECT_GE(refused, 1) << "the memory of requests is not full";
    EXPECT_EQ(answer.failure, transport::HttpFailure::None) << answer.error;
    EXPECT_EQ(answer.response.body, "{}");
}

} // namespace lentilsaddle::platform
