#include "transport/HttpClient.h"

#include "tests/transport/SilencingServer.h"
#include "transport/EventLoop.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace lentilsaddle::transport {

using std::chrono::milliseconds;
using testing_support::SilencingServer;

namespace {

    constexpr milliseconds responseDelay { 30 };
    constexpr milliseconds callTimeout { 250 };
    constexpr int connections = 16;

    class SilentConnectionTest : public testing::Test {
    protected:
        // Sends requests at the same time.
        std::vector<HttpResult> sendTogether(int count, const std::string& url)
        {
            std::vector<HttpResult> results;
            for (int number = 0; number < count; ++number) {
                m_client.send({ .url = url + "/", .timeout = callTimeout }, [&, count](HttpResult result) {
                    results.push_back(std::move(result));
                    if (results.size() == static_cast<std::size_t>(count))
                        m_loop.requestStop();
                });
            }
            m_loop.run();
            return results;
        }

        HttpResult send(const std::string& url) { return sendTogether(1, url).front(); }

        EventLoop m_loop { [] {} };
        HttpClient m_client { m_loop, {} };
        SilencingServer m_server { "{}", responseDelay };
    };

} // namespace

// Guards against a call that waits for a timeout on each of the idle connections to a server that have gone silent
// together.
TEST_F(SilentConnectionTest, OneCallWithoutAResponseEndsTheIdleConnectionsToItsServer)
{
    sendTogether(connections, m_server.url());
    ASSERT_EQ(m_server.connections(), connections);
    m_server.silenceOpenConnections();
    EXPECT_TRUE(send(m_server.url()).timedOut);
    for (int call = 0; call < connections; ++call)
        EXPECT_EQ(send(m_server.url()).failure, HttpFailure::None);
    EXPECT_EQ(m_server.connections(), connections + 1);
}

// Guards against the same if several calls wait on silent connections at the same time.
TEST_F(SilentConnectionTest, SimultaneousCallsWithoutAResponseEndTheIdleConnections)
{
    sendTogether(connections, m_server.url());
    m_server.silenceOpenConnections();
    for (const HttpResult& result : sendTogether(connections / 2, m_server.url()))
        EXPECT_TRUE(result.timedOut);
    for (const HttpResult& result : sendTogether(connections, m_server.url()))
        EXPECT_EQ(result.failure, HttpFailure::None);
}

// Guards against new connections to other servers for each server that is down.
TEST_F(SilentConnectionTest, ConnectionsToOtherServersStayOpen)
{
    SilencingServer other("{}", responseDelay);
    sendTogether(connections, m_server.url());
    sendTogether(connections, other.url());
    m_server.silenceOpenConnections();
    EXPECT_TRUE(send(m_server.url()).timedOut);
    for (const HttpResult& result : sendTogether(connections, other.url()))
        EXPECT_EQ(result.failure, HttpFailure::None);
    EXPECT_EQ(other.connections(), connections);
}

// Guards against connections that are closed although a response has arrived on them while the call waited.
TEST_F(SilentConnectionTest, ConnectionThatHasRespondedSinceStaysOpen)
{
    sendTogether(1, m_server.url());
    m_server.silenceOpenConnections();
    bool timedOut = false;
    m_client.send({ .url = m_server.url() + "/", .timeout = callTimeout }, [&](const HttpResult& result) {
        timedOut = result.timedOut;
        m_loop.requestStop();
    });
    // On a new connection, while the first call waits.
    bool responded = false;
    m_client.send({ .url = m_server.url() + "/", .timeout = callTimeout },
        [&](const HttpResult& result) { responded = result.failure == HttpFailure::None; });
    m_loop.run();
    ASSERT_TRUE(timedOut);
    ASSERT_TRUE(responded);
    EXPECT_EQ(m_server.connections(), 2);
    EXPECT_EQ(send(m_server.url()).failure, HttpFailure::None);
    EXPECT_EQ(m_server.connections(), 2);
}

} // namespace lentilsaddle::transport
