#include "transport/HttpClient.h"

#include "tests/transport/InterruptingServer.h"
#include "tests/transport/LoopbackListener.h"
#include "transport/EventLoop.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lentilsaddle::transport {

using testing_support::InterruptingServer;
using Point = InterruptingServer::Point;
using Ending = InterruptingServer::Ending;
using Afterwards = InterruptingServer::Afterwards;

namespace {

    constexpr std::chrono::milliseconds callTimeout { 5'000 };

    struct Interruption {
        Point point = Point::AfterRequest;
        Ending ending = Ending::Close;
        Afterwards afterwards = Afterwards::RefuseConnections;
        std::size_t bodySize = 0;
        bool reused = false;
        bool repeatable = false;
    };

    std::vector<Interruption> allInterruptions()
    {
        std::vector<Interruption> all;
        for (Point point : { Point::BeforeRequest, Point::AfterHeader, Point::WithinBody, Point::AfterRequest,
                 Point::WithinResponseHeader, Point::WithinResponseBody })
            for (Ending ending : { Ending::Close, Ending::Reset })
                for (Afterwards afterwards : { Afterwards::RefuseConnections, Afterwards::RefuseRequests })
                    for (std::size_t bodySize : { 0UL, 1UL, 4'000UL, 70'000UL, 200'000UL })
                        for (bool reused : { false, true })
                            for (bool repeatable : { false, true })
                                all.push_back({ point, ending, afterwards, bodySize, reused, repeatable });
        return all;
    }

    std::string describe(const Interruption& interruption)
    {
        return "point " + std::to_string(static_cast<int>(interruption.point)) + ", ending "
            + std::to_string(static_cast<int>(interruption.ending)) + ", afterwards "
            + std::to_string(static_cast<int>(interruption.afterwards)) + ", body "
            + std::to_string(interruption.bodySize) + (interruption.reused ? ", reused" : ", new")
            + (interruption.repeatable ? ", repeatable" : "");
    }

    // Sends requests one after the other, as one client.
    class InterruptedRequestTest : public testing::Test {
    protected:
        HttpResult send(const HttpCall& call)
        {
            HttpResult received;
            m_client->send(call, [&](HttpResult result) {
                received = std::move(result);
                m_loop.requestStop();
            });
            m_loop.run();
            return received;
        }

        // @return the result of the interrupted request.
        HttpResult interrupt(InterruptingServer& server, const Interruption& interruption)
        {
            HttpCall call { .method = "POST", .url = server.url(), .timeout = callTimeout };
            if (interruption.reused) {
                EXPECT_EQ(send(call).response.status, 200);
            }
            if (interruption.reused && interruption.point == Point::BeforeRequest)
                server.endIdleConnection();
            call.body = std::string(interruption.bodySize, 'x');
            call.repeatable = interruption.repeatable;
            HttpResult result = send(call);
            server.waitForInterruption();
            return result;
        }

        static InterruptingServer::Options serverOptions(const Interruption& interruption)
        {
            return {
                .answered = interruption.reused ? 1 : 0,
                .point = interruption.point,
                .ending = interruption.ending,
                .afterwards = interruption.afterwards,
            };
        }

        EventLoop m_loop { [] {} };
        std::unique_ptr<HttpClient> m_client = std::make_unique<HttpClient>(m_loop, HttpClientOptions {});
    };

} // namespace

// Guards against a request that the server has read, completely or in part, and that is reported as not sent.
TEST_F(InterruptedRequestTest, RequestThatTheServerHasReadIsNeverNotSent)
{
    for (const Interruption& interruption : allInterruptions()) {
        SCOPED_TRACE(describe(interruption));
        InterruptingServer server(serverOptions(interruption));
        HttpResult result = interrupt(server, interruption);
        if (server.interruptedBytes() > 0) {
            EXPECT_NE(result.failure, HttpFailure::NotSent) << result.error;
        }
        m_client = std::make_unique<HttpClient>(m_loop, HttpClientOptions {});
    }
}

// Guards against the refusal of an unnoticed second request that takes the place of the lost response to the first.
TEST_F(InterruptedRequestTest, InterruptedRequestIsSentOnceUnlessRepeatable)
{
    for (const Interruption& interruption : allInterruptions()) {
        if (interruption.repeatable || interruption.point == Point::BeforeRequest)
            continue;
        SCOPED_TRACE(describe(interruption));
        InterruptingServer server(serverOptions(interruption));
        HttpResult result = interrupt(server, interruption);
        EXPECT_EQ(result.failure, HttpFailure::ResponseLost) << "status " << result.response.status;
        EXPECT_LE(server.requests(), interruption.reused ? 2 : 1);
        m_client = std::make_unique<HttpClient>(m_loop, HttpClientOptions {});
    }
}

// Guards against a response whose header is cut by the end of the connection, and which passes for a complete one: its
// body, which may state that nothing was done or why, is missing.
TEST_F(InterruptedRequestTest, ResponseWithACutHeaderIsLost)
{
    for (int status : { 200, 409, 503 }) {
        InterruptingServer server({ .point = Point::WithinResponseHeader, .interruptedStatus = status });
        HttpResult result = send({ .method = "POST", .url = server.url(), .body = "x", .timeout = callTimeout });
        EXPECT_EQ(result.failure, HttpFailure::ResponseLost) << "status " << result.response.status;
    }
}

// Guards against a complete response that passes for a cut one because of its interim response or its trailers.
TEST_F(InterruptedRequestTest, ResponseWithInterimResponseAndTrailersIsComplete)
{
    testing_support::LoopbackListener listener;
    std::thread server([&] {
        constexpr std::string_view response = "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"
                                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                                              "2\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n";
        int connection = listener.accept();
        char buffer[4096];
        EXPECT_GT(recv(connection, buffer, sizeof buffer, 0), 0);
        EXPECT_EQ(
            ::send(connection, response.data(), response.size(), MSG_NOSIGNAL), static_cast<ssize_t>(response.size()));
        close(connection);
    });
    HttpResult result = send({ .method = "POST",
        .url = "http://127.0.0.1:" + std::to_string(listener.port()),
        .body = "x",
        .timeout = callTimeout });
    server.join();
    EXPECT_EQ(result.failure, HttpFailure::None) << result.error;
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.body, "{}");
}

// Guards against a request that is reported as lost although its connection had ended before it was sent.
TEST_F(InterruptedRequestTest, RequestIsNotSentIfItsConnectionHasEndedBefore)
{
    for (const Interruption& interruption : allInterruptions()) {
        if (interruption.point != Point::BeforeRequest || !interruption.reused)
            continue;
        SCOPED_TRACE(describe(interruption));
        InterruptingServer server(serverOptions(interruption));
        HttpResult result = interrupt(server, interruption);
        if (interruption.afterwards == Afterwards::RefuseConnections) {
            EXPECT_EQ(result.failure, HttpFailure::NotSent) << result.error;
        } else {
            EXPECT_EQ(result.response.status, 503) << result.error;
        }
        m_client = std::make_unique<HttpClient>(m_loop, HttpClientOptions {});
    }
}

// Guards against a repeatable request whose interruption is reported as not sent, or that is sent more than twice.
TEST_F(InterruptedRequestTest, RepeatableRequestIsSentAgainOnlyBeforeTheResponse)
{
    for (const Interruption& interruption : allInterruptions()) {
        if (!interruption.repeatable || interruption.point < Point::AfterRequest)
            continue;
        SCOPED_TRACE(describe(interruption));
        InterruptingServer server(serverOptions(interruption));
        HttpResult result = interrupt(server, interruption);
        if (result.failure == HttpFailure::None) {
            EXPECT_TRUE(interruption.reused);
            EXPECT_EQ(interruption.point, Point::AfterRequest);
            EXPECT_EQ(interruption.afterwards, Afterwards::RefuseRequests);
            EXPECT_EQ(result.response.status, 503);
        } else {
            EXPECT_EQ(result.failure, HttpFailure::ResponseLost) << result.error;
        }
        EXPECT_LE(server.requests(), interruption.reused ? 3 : 2);
        m_client = std::make_unique<HttpClient>(m_loop, HttpClientOptions {});
    }
}

} // namespace lentilsaddle::transport
