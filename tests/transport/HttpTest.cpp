#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include "tests/transport/DrippingServer.h"
#include "tests/transport/LoopbackListener.h"
#include "tests/transport/ScriptedServer.h"
#include "transport/EventLoop.h"
#include "transport/TransportError.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <stdexcept>
#include <thread>

namespace lentilsaddle::transport {

using testing_support::ScriptedServer;

namespace {

    // Server and client on one event loop; run() returns when all calls made with send() have completed.
    class HttpTest : public testing::Test {
    protected:
        void serve(HttpHandler handler, std::size_t maximumBodyBytes = 1 << 20)
        {
            m_server = std::make_unique<HttpServer>(
                m_loop, HttpServerOptions { .maximumBodyBytes = maximumBodyBytes }, std::move(handler));
        }

        HttpCall call(const std::string& body = "") const
        {
            return {
                .method = "POST", .url = "http://127.0.0.1:" + std::to_string(m_server->port()) + "/p?q=1", .body = body
            };
        }

        void send(const HttpCall& call)
        {
            ++m_expected;
            m_client.send(call, [this](HttpResult result) {
                m_results.push_back(std::move(result));
                if (m_results.size() == m_expected)
                    m_loop.requestStop();
            });
        }

        static int connectTo(std::uint16_t port)
        {
            int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
            return descriptor;
        }

        static void sendText(int descriptor, const std::string& text)
        {
            EXPECT_EQ(::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
        }

        // Sends the text on a connection and returns what the server sends until it closes the connection, for 2 s at
        // most.
        std::string exchangeText(const std::string& text)
        {
            int descriptor = connectTo(m_server->port());
            sendText(descriptor, text);
            std::string response;
            bool ended = false;
            auto stop = [&] {
                ended = true;
                m_loop.requestStop();
            };
            m_loop.watchDescriptor(descriptor, true, false, [&](bool, bool) {
                char buffer[4096];
                ssize_t received = recv(descriptor, buffer, sizeof buffer, 0);
                response.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
                if (received <= 0 && !ended)
                    stop();
            });
            auto timer = m_loop.startTimer(std::chrono::seconds(2), stop);
            // A stop that was requested in the run before may end the next one at once.
            while (!ended)
                m_loop.run();
            m_loop.cancelTimer(timer);
            m_loop.unwatchDescriptor(descriptor);
            close(descriptor);
            return response;
        }

        EventLoop m_loop { [] {} };
        HttpClient m_client { m_loop, {} };
        std::unique_ptr<HttpServer> m_server;
        std::size_t m_expected = 0;
        bool m_opened = false;
        std::vector<HttpResult> m_results;
    };

    // Accepts connections, reads at most 4,096 bytes from each and closes it without a response.
    class ClosingServer {
    public:
        ClosingServer()
            : m_thread([this] { serve(); })
        {
        }
        ~ClosingServer()
        {
            m_listener.shutDown();
            m_thread.join();
        }
        std::uint16_t port() const { return m_listener.port(); }
        int requests() const { return m_requests; }

    private:
        void serve()
        {
            for (int connection = m_listener.accept(); connection >= 0; connection = m_listener.accept()) {
                char buffer[4096];
                if (recv(connection, buffer, sizeof buffer, 0) > 0)
                    ++m_requests;
                close(connection);
            }
        }

        testing_support::LoopbackListener m_listener;
        std::atomic<int> m_requests = 0;
        std::thread m_thread;
    };

} // namespace

TEST_F(HttpTest, RequestAndResponseBodiesArriveComplete)
{
    std::string large(500'000, 'x');
    serve([](const HttpRequest& request, const HttpResponder& respond) {
        respond({ .status = 201, .headers = { { "x-query", request.query.at("q") } }, .body = request.body });
    });
    send(call(large));
    m_loop.run();
    EXPECT_EQ(m_results[0].response.status, 201);
    EXPECT_EQ(m_results[0].response.headers["x-query"], "1");
    EXPECT_EQ(m_results[0].response.body, large);
}

// Guards against a client receiving the response to another request when responses are sent out of order.
TEST_F(HttpTest, ResponsesSentOutOfOrderReachTheirOwnRequests)
{
    std::vector<std::pair<std::string, HttpResponder>> held;
    serve([&](const HttpRequest& request, const HttpResponder& respond) {
        held.emplace_back(request.body, respond);
        if (held.size() < 3)
            return;
        for (auto entry = held.rbegin(); entry != held.rend(); ++entry)
            entry->second({ .status = 200, .headers = {}, .body = "answer to " + entry->first });
    });
    std::map<std::string, std::string> responses;
    for (const std::string id : { "a", "b", "c" }) {
        m_client.send(call(id), [&, id](const HttpResult& result) {
            responses[id] = result.response.body;
            if (responses.size() == 3)
                m_loop.requestStop();
        });
    }
    m_loop.run();
    EXPECT_EQ(responses["a"], "answer to a");
    EXPECT_EQ(responses["b"], "answer to b");
    EXPECT_EQ(responses["c"], "answer to c");
}

// Guards against unbounded memory use for large request bodies.
TEST_F(HttpTest, OversizedBodyIsRefused)
{
    bool handled = false;
    serve([&](const HttpRequest&, const HttpResponder&) { handled = true; }, 1000);
    send(call(std::string(5000, 'x')));
    m_loop.run();
    EXPECT_EQ(m_results[0].response.status, 413);
    EXPECT_EQ(m_results[0].response.headers["request-outcome"], "not-run");
    EXPECT_FALSE(handled);
}

// Guards against reading a body that is known to be refused: its client is still sending.
TEST_F(HttpTest, AnnouncedBodyOverTheLimitIsRefusedBeforeItIsRead)
{
    serve([](const HttpRequest&, const HttpResponder& respond) { respond({}); }, 1000);
    std::string response = exchangeText("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 413 ")) << response;
    EXPECT_NE(response.find("not-run"), std::string::npos) << response;
}

// Guards against a body that is larger than the length for which the budget was asked, because the header gives the
// length in two ways.
TEST_F(HttpTest, ConflictingLengthsAreRefused)
{
    bool handled = false;
    serve([&](const HttpRequest&, const HttpResponder& respond) {
        handled = true;
        respond({});
    });
    for (const char* lengths : { "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n", "Content-Length: 1\r\nContent-Length: 5\r\n",
             "Content-Length: 5\r\nContent-Length: 1\r\n", "Content-Length: 0\r\nContent-Length: 5\r\n" }) {
        std::string response = exchangeText(std::string("POST / HTTP/1.1\r\nHost: a\r\n") + lengths + "\r\n");
        EXPECT_TRUE(response.starts_with("HTTP/1.1 400 ")) << lengths << response;
    }
    EXPECT_FALSE(handled);
    std::string response = exchangeText(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\nConnection: close\r\n\r\n1");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << "equal lengths are one length" << response;
}

// Guards against refusing ordinary requests while stopped bodies hold all the memory, and against a refusal without
// Retry-After or of a request that has run.
TEST_F(HttpTest, StoppedBodiesLeaveRoomForOrdinaryRequests)
{
    auto budget = std::make_shared<BodyBudget>(BodyBudget::Options { .limitBytes = 100'000 });
    std::vector<std::string> refusals;
    std::size_t served = 0;
    m_server = std::make_unique<HttpServer>(m_loop,
        HttpServerOptions {
            .budget = budget, .onRefusal = [&](const std::string& reason) { refusals.push_back(reason); } },
        [&](const HttpRequest& request, const HttpResponder& respond) {
            ++served;
            respond({ .status = 200, .headers = {}, .body = std::to_string(request.body.size()) });
        });
    std::vector<int> stopped;
    for (int index = 0; index < 20; ++index) {
        stopped.push_back(connectTo(m_server->port()));
        sendText(stopped.back(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + std::string(100, 'x'));
    }
    m_loop.startTimer(std::chrono::milliseconds(50), [&] {
        EXPECT_GT(budget->heldBytes(), 60'000U);
        EXPECT_LE(budget->heldBytes(), budget->limitBytes());
        send(call(std::string(4'000, 'x')));
        send(call(std::string(30'000, 'x')));
    });
    m_loop.run();
    for (int descriptor : stopped)
        close(descriptor);
    std::sort(m_results.begin(), m_results.end(),
        [](const HttpResult& a, const HttpResult& b) { return a.response.status < b.response.status; });
    EXPECT_EQ(m_results[0].response.body, "4000");
    EXPECT_EQ(m_results[1].response.status, 503);
    EXPECT_EQ(m_results[1].response.headers["retry-after"], "1");
    EXPECT_EQ(m_results[1].response.headers["request-outcome"], "not-run");
    EXPECT_EQ(served, 1U);
    EXPECT_FALSE(refusals.empty());
}

// Guards against connections that stay for ever because their end arrived together with their last bytes.
TEST_F(HttpTest, ConnectionThatEndsWithinABodyIsClosed)
{
    auto budget = std::make_shared<BodyBudget>(BodyBudget::Options { .limitBytes = 100'000 });
    m_server = std::make_unique<HttpServer>(m_loop, HttpServerOptions { .budget = budget },
        [](const HttpRequest&, const HttpResponder& respond) { respond({}); });
    for (int index = 0; index < 10; ++index) {
        int descriptor = connectTo(m_server->port());
        sendText(descriptor, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + std::string(100, 'x'));
        close(descriptor);
    }
    std::function<void()> stopWhenEmpty = [&] {
        if (m_opened && budget->requests() == 0)
            m_loop.requestStop();
        m_opened = m_opened || budget->requests() > 0;
        m_loop.startTimer(std::chrono::milliseconds(20), stopWhenEmpty);
    };
    m_loop.startTimer(std::chrono::milliseconds(1), stopWhenEmpty);
    m_loop.run();
    EXPECT_EQ(budget->heldBytes(), 0U);
}

// Guards against a server that answers without end and fills the memory of its client.
TEST_F(HttpTest, ResponseOverTheLimitFailsTheCall)
{
    serve([](const HttpRequest&, const HttpResponder& respond) {
        respond({ .status = 200, .headers = {}, .body = std::string(100'000, 'x') });
    });
    HttpClient client(m_loop, { .maximumResponseBytes = 50'000 });
    HttpResult result;
    client.send(call(), [&](HttpResult received) {
        result = std::move(received);
        m_loop.requestStop();
    });
    m_loop.run();
    EXPECT_EQ(result.failure, HttpFailure::ResponseLost);
    EXPECT_LE(result.receivedBytes, 50'000U);
}

// Guards against NotSent being reported for a request that the server may have read.
TEST_F(HttpTest, ClosedConnectionAfterSendingIsResponseLost)
{
    ClosingServer server;
    HttpCall request { .method = "POST",
        .url = "http://127.0.0.1:" + std::to_string(server.port()) + "/",
        .body = "x",
        .freshConnection = true };
    send(request);
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::ResponseLost);
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a request that is sent again without notice when its reused connection is closed, so that the response
// to the second request hides that the first one was executed.
TEST_F(HttpTest, RequestOnAReusedConnectionIsSentOnce)
{
    ScriptedServer server([](int number) -> std::optional<ScriptedServer::Response> {
        if (number == 2)
            return std::nullopt;
        return ScriptedServer::Response { .status = number == 1 ? 200 : 503 };
    });
    HttpCall request { .method = "POST", .url = server.url(), .body = "x" };
    send(request);
    m_loop.run();
    ASSERT_EQ(m_results[0].response.status, 200);
    send(request);
    m_loop.run();
    EXPECT_EQ(m_results[1].failure, HttpFailure::ResponseLost);
    EXPECT_FALSE(m_results[1].timedOut);
    EXPECT_EQ(server.requests(), 2);
    // The next call is not affected.
    send(request);
    m_loop.run();
    EXPECT_EQ(m_results[2].response.status, 503);
    EXPECT_LE(server.connections(), 2) << "a connection was opened for a request that was not sent";
}

// Guards against a read that fails although only an idle connection was closed, and against endless repetition.
TEST_F(HttpTest, RepeatableRequestIsSentTwiceAtMost)
{
    ScriptedServer server([](int number) -> std::optional<ScriptedServer::Response> {
        if (number == 2 || number == 4 || number == 5)
            return std::nullopt;
        return ScriptedServer::Response { .body = std::to_string(number) };
    });
    HttpCall request { .url = server.url(), .repeatable = true };
    for (int call = 0; call < 3; ++call) {
        send(request);
        m_loop.run();
    }
    EXPECT_EQ(m_results[0].response.body, "1");
    EXPECT_EQ(m_results[1].response.body, "3");
    EXPECT_EQ(m_results[2].failure, HttpFailure::ResponseLost);
    EXPECT_EQ(server.requests(), 5);
}

// Guards against NotSent being reported for a request that was sent on a reused connection, if the server then refuses
// a new connection.
TEST_F(HttpTest, LostResponseBeforeARefusedConnectionIsResponseLost)
{
    ScriptedServer server([](int number) -> std::optional<ScriptedServer::Response> {
        if (number == 2)
            return std::nullopt;
        return ScriptedServer::Response { .stopListening = true };
    });
    HttpCall request { .method = "POST", .url = server.url(), .body = "x" };
    send(request);
    m_loop.run();
    ASSERT_EQ(m_results[0].response.status, 200);
    send(request);
    m_loop.run();
    EXPECT_EQ(m_results[1].failure, HttpFailure::ResponseLost);
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(HttpTest, RefusedConnectionIsNotSent)
{
    std::uint16_t port = 0;
    {
        ClosingServer server;
        port = server.port();
    }
    send({ .method = "POST", .url = "http://127.0.0.1:" + std::to_string(port) + "/", .body = "x" });
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::NotSent);
}

TEST_F(HttpTest, OccupiedPortIsAnError)
{
    serve([](const HttpRequest&, const HttpResponder& respond) { respond({}); });
    EXPECT_THROW(HttpServer(m_loop, HttpServerOptions { .port = m_server->port() }, {}), TransportError);
}

// Guards against idle connections or incomplete requests exhausting the connection limit, so that new clients are not
// served.
TEST_F(HttpTest, LongestIdleConnectionIsClosedAtTheLimit)
{
    constexpr unsigned limit = 8;
    m_server = std::make_unique<HttpServer>(m_loop, HttpServerOptions { .connectionLimit = limit },
        [](const HttpRequest&, const HttpResponder& respond) { respond({ .status = 204 }); });
    std::vector<int> idle;
    for (unsigned index = 0; index < 3 * limit; ++index) {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_server->port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        const std::string incompleteRequest = "GET /p HTTP/1.1\r\nHost: a";
        if (index % 2 == 0)
            (void)::send(descriptor, incompleteRequest.data(), incompleteRequest.size(), MSG_NOSIGNAL);
        idle.push_back(descriptor);
    }
    HttpCall lastCall = call();
    lastCall.timeout = std::chrono::milliseconds(3'000);
    send(lastCall);
    m_loop.run();
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(m_results[0].response.status, 204);
    char byte = 0;
    EXPECT_EQ(recv(idle.front(), &byte, 1, MSG_DONTWAIT), 0) << "the longest idle connection is open";
    for (int descriptor : idle)
        close(descriptor);
}

// Guards against closing a connection whose client is sending a body instead of one that has been idle.
TEST_F(HttpTest, ReceivingConnectionIsNotTheLongestIdle)
{
    m_server = std::make_unique<HttpServer>(m_loop, HttpServerOptions { .connectionLimit = 2 },
        [](const HttpRequest&, const HttpResponder& respond) { respond({ .status = 204 }); });
    int receiving = connectTo(m_server->port());
    sendText(receiving, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
    int idle = -1;
    using std::chrono::milliseconds;
    m_loop.startTimer(milliseconds(30), [&] { idle = connectTo(m_server->port()); });
    m_loop.startTimer(milliseconds(60), [&] { sendText(receiving, std::string(100, 'x')); });
    m_loop.startTimer(milliseconds(90), [&] { send(call()); });
    m_loop.run();
    EXPECT_EQ(m_results[0].response.status, 204);
    char byte = 0;
    EXPECT_EQ(recv(idle, &byte, 1, MSG_DONTWAIT), 0) << "the idle connection is open";
    EXPECT_LT(recv(receiving, &byte, 1, MSG_DONTWAIT), 0) << "the receiving connection is closed";
    close(receiving);
    close(idle);
}

// Guards against a request that has run, and whose short response is not sent because other requests took the rest of
// the memory meanwhile.
TEST_F(HttpTest, SmallResponseIsSentWithAFullBudget)
{
    auto budget = std::make_shared<BodyBudget>(BodyBudget::Options { .limitBytes = 10'000 });
    m_server = std::make_unique<HttpServer>(
        m_loop, HttpServerOptions { .budget = budget }, [&](const HttpRequest&, const HttpResponder& respond) {
            auto other = budget->open(
                "other", budget->limitBytes() - budget->heldBytes(), std::chrono::steady_clock::now(), {});
            EXPECT_NE(other, 0U);
            budget->startRunning(other);
            respond({ .status = 200, .headers = {}, .body = std::string(1'000, 'r') });
        });
    send(call());
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::None) << m_results[0].error;
    EXPECT_EQ(m_results[0].response.body.size(), 1'000U);
    EXPECT_LE(budget->heldBytes(), budget->limitBytes());
}

// Guards against memory beside the budget: nodes of header fields, and the block in which a large response is sent.
TEST_F(HttpTest, HeaderFieldsAndResponseBlocksAreCharged)
{
    constexpr int fields = 50;
    constexpr std::size_t responseBytes = 1'000'000;
    auto budget = std::make_shared<BodyBudget>(BodyBudget::Options { .limitBytes = 10'000'000 });
    std::size_t heldByRequest = 0;
    std::size_t heldByResponse = 0;
    m_server = std::make_unique<HttpServer>(
        m_loop, HttpServerOptions { .budget = budget }, [&](const HttpRequest&, const HttpResponder& respond) {
            heldByRequest = budget->heldBytes();
            respond({ .status = 200, .headers = {}, .body = std::string(responseBytes, 'r') });
            heldByResponse = budget->heldBytes();
        });
    HttpCall manyFields = call();
    for (int index = 0; index < fields; ++index)
        manyFields.headers["f" + std::to_string(index)] = "v";
    send(manyFields);
    m_loop.run();
    EXPECT_EQ(m_results[0].response.body.size(), responseBytes);
    EXPECT_GE(heldByRequest, fields * 128U);
    EXPECT_GE(heldByResponse, responseBytes + 16'384);
}

// Guards against headers of ordinary size that do not fit into the memory of a connection, and against a limit of that
// memory that does not hold.
TEST_F(HttpTest, HeaderIsLimitedByTheMemoryOfAConnection)
{
    serve([](const HttpRequest& request, const HttpResponder& respond) {
        respond({ .status = 200, .headers = {}, .body = request.headers.at("large") });
    });
    HttpCall ordinary = call();
    ordinary.headers["large"] = std::string(6'000, 'h');
    send(ordinary);
    m_loop.run();
    EXPECT_EQ(m_results[0].response.status, 200);
    EXPECT_EQ(m_results[0].response.body.size(), 6'000U);
    HttpCall large = call();
    large.headers["large"] = std::string(9'000, 'h');
    send(large);
    while (m_results.size() < 2)
        m_loop.run();
    EXPECT_EQ(m_results[1].response.status, 431);
}

// Guards against a large response that fails because its transfer takes longer than the timeout, although bytes keep
// arriving.
TEST_F(HttpTest, SteadyResponseMayTakeLongerThanTheTimeout)
{
    using std::chrono::milliseconds;
    testing_support::DrippingServer server({ .body = "0123456789", .interval = milliseconds(40) });
    HttpCall call { .url = server.url() };
    call.timeout = milliseconds(200);
    call.stallTimeout = milliseconds(200);
    send(call);
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::None);
    EXPECT_EQ(m_results[0].response.body, "0123456789");
}

// Guards against a call that never ends because its connection went silent within the response.
TEST_F(HttpTest, StalledResponseFails)
{
    using std::chrono::milliseconds;
    testing_support::DrippingServer server({ .body = "0123456789", .bytesSent = 3, .interval = milliseconds(10) });
    HttpCall call { .url = server.url() };
    call.timeout = milliseconds(5'000);
    call.stallTimeout = milliseconds(150);
    send(call);
    auto begin = std::chrono::steady_clock::now();
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::ResponseLost);
    EXPECT_TRUE(m_results[0].timedOut);
    EXPECT_EQ(m_results[0].receivedBytes, 3U);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(2'000));
}

// Guards against a call that fails although its response arrived while the loop was busy for longer than the timeout.
TEST_F(HttpTest, ResponseThatArrivedWhileTheLoopWasBusyIsRead)
{
    using std::chrono::milliseconds;
    testing_support::DrippingServer server({ .body = "0123456789", .interval = milliseconds(10) });
    HttpCall call { .url = server.url() };
    call.timeout = milliseconds(100);
    call.stallTimeout = milliseconds(100);
    send(call);
    m_loop.startTimer(milliseconds(40), [] { std::this_thread::sleep_for(milliseconds(400)); });
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::None) << m_results[0].error;
}

// Guards against the same for a call whose total time is limited, such as a start that a busy leader has sent.
TEST_F(HttpTest, ResponseWithinATotalLimitThatArrivedWhileTheLoopWasBusyIsRead)
{
    using std::chrono::milliseconds;
    testing_support::DrippingServer server({ .body = "0123456789", .interval = milliseconds(10) });
    HttpCall call { .url = server.url() };
    call.timeout = milliseconds(200);
    send(call);
    m_loop.startTimer(milliseconds(20), [] { std::this_thread::sleep_for(milliseconds(400)); });
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::None) << m_results[0].error;
}

// Guards against a total limit that does not apply once a response has begun.
TEST_F(HttpTest, SteadyResponseFailsAtATotalLimit)
{
    using std::chrono::milliseconds;
    testing_support::DrippingServer server({ .body = "0123456789", .interval = milliseconds(100) });
    HttpCall call { .url = server.url() };
    call.timeout = milliseconds(250);
    send(call);
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::ResponseLost);
    EXPECT_TRUE(m_results[0].timedOut);
}

// Guards against a connection to one server that is closed for a connection to another one while there is room for
// both, and against the headers or the body of one call in another call that reuses its handle.
TEST_F(HttpTest, ServersOfAllGroupsKeepTheirConnections)
{
    constexpr std::size_t serverCount = 12;
    HttpClient client(
        m_loop, { .maximumConnectionsPerHost = 1, .maximumConnections = 4 * serverCount, .connectionGroups = 4 });
    std::vector<std::unique_ptr<HttpServer>> servers;
    servers.reserve(serverCount);
    std::vector<std::string> seen;
    for (std::size_t index = 0; index < serverCount; ++index) {
        servers.push_back(std::make_unique<HttpServer>(
            m_loop, HttpServerOptions {}, [&seen](const HttpRequest& request, const HttpResponder& respond) {
                seen.push_back(request.method + request.body + request.headers.at("mark"));
                respond({ .status = 200, .headers = {}, .body = request.body });
            }));
    }
    int connections = 0;
    std::size_t finished = 0;
    // Each round waits for the one before, so that its calls reuse the handles.
    std::function<void(int)> startRound = [&](int round) {
        for (std::size_t index = 0; index < serverCount; ++index) {
            std::string mark = std::to_string(round) + "." + std::to_string(index);
            HttpCall call { .method = round % 2 == 0 ? "POST" : "GET",
                .url = "http://127.0.0.1:" + std::to_string(servers[index]->port()) + "/",
                .headers = { { "mark", mark } },
                .body = round % 2 == 0 ? mark : "" };
            client.send(call, [&, round, body = call.body](const HttpResult& result) {
                EXPECT_EQ(result.failure, HttpFailure::None) << result.error;
                EXPECT_EQ(result.response.body, body);
                connections += result.newConnections;
                if (++finished % serverCount != 0)
                    return;
                if (round == 3)
                    m_loop.requestStop();
                else
                    startRound(round + 1);
            });
        }
    };
    startRound(0);
    m_loop.run();
    EXPECT_EQ(connections, static_cast<int>(serverCount));
    std::sort(seen.begin(), seen.end());
    EXPECT_EQ(seen.size(), 4 * serverCount);
    EXPECT_EQ(std::unique(seen.begin(), seen.end()), seen.end());
}

// Guards against one request, or one response, with which a handler fails unexpectedly, and that ends the whole process
// or all later calls.
TEST_F(HttpTest, UnexpectedErrorOfAHandlerEndsOnlyItsCall)
{
    serve([](const HttpRequest& request, const HttpResponder& respond) {
        if (request.body == "odd")
            throw std::out_of_range("unexpected value");
        respond({ .status = 200, .headers = {}, .body = request.body });
    });
    m_client.send(call("first"), [](const HttpResult&) { throw std::out_of_range("unexpected value"); });
    send(call("odd"));
    send(call("even"));
    m_loop.run();
    std::vector<int> statuses;
    for (const HttpResult& result : m_results)
        statuses.push_back(result.response.status);
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<int> { 200, 500 }));
}

// Guards against a call without a response that lasts longer than its timeout, because only pauses are limited.
TEST_F(HttpTest, ResponseThatDoesNotBeginFailsAtTheTimeout)
{
    using std::chrono::milliseconds;
    testing_support::DrippingServer server({ .body = "0123456789", .bytesSent = 0 });
    HttpCall call { .url = server.url() };
    call.timeout = milliseconds(150);
    call.stallTimeout = milliseconds(5'000);
    send(call);
    auto begin = std::chrono::steady_clock::now();
    m_loop.run();
    EXPECT_EQ(m_results[0].failure, HttpFailure::ResponseLost);
    EXPECT_TRUE(m_results[0].timedOut);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(2'000));
}

} // namespace lentilsaddle::transport
