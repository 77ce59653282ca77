/// @file
/// HTTP server that ends its connection at a chosen byte of a request or of its response.
#pragma once

#include "tests/transport/LoopbackListener.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace lentilsaddle::testing_support {

/// Listens on a loopback port and serves one connection at a time. Answers some requests with 200, interrupts the next
/// one, and then refuses connections or answers all later requests with 503.
class InterruptingServer {
public:
    enum class Point {
        /// Before it reads a byte; on a connection that was used before, only in endIdleConnection().
        BeforeRequest,
        AfterHeader,
        /// After a half of the request body.
        WithinBody,
        AfterRequest,
        /// After the status line of the response.
        WithinResponseHeader,
        WithinResponseBody,
    };
    enum class Ending { Close, Reset };
    enum class Afterwards { RefuseConnections, RefuseRequests };

    struct Options {
        /// Requests that are answered with 200 before, on the same connection.
        int answered = 0;
        std::string answer = "{}";
        Point point = Point::AfterRequest;
        Ending ending = Ending::Close;
        Afterwards afterwards = Afterwards::RefuseConnections;
        /// Status of the response that is interrupted.
        int interruptedStatus = 200;
    };

    explicit InterruptingServer(Options options);
    ~InterruptingServer();
    InterruptingServer(const InterruptingServer&) = delete;
    InterruptingServer& operator=(const InterruptingServer&) = delete;

    /// @return `HOST:PORT`.
    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }
    /// @return base URL, without a trailing slash.
    std::string url() const { return "http://" + address(); }
    /// @return number of requests that were read completely.
    int requests() const { return m_requests; }
    /// @return bytes of the interrupted request that were read.
    std::size_t interruptedBytes() const { return m_interruptedBytes; }
    /// Waits until the connection has been ended.
    void waitForInterruption() const { m_interrupted.wait(false); }
    /// Ends the connection at Point::BeforeRequest, after the client has received all answers.
    void endIdleConnection();

private:
    void serve();
    void interrupt(int connection);
    /// Answers requests until the client closes the connection.
    /// @param limit greatest number of requests.
    void answerRequests(int connection, int limit, int status, const std::string& body);

    Options m_options;
    LoopbackListener m_listener;
    std::atomic<int> m_requests = 0;
    std::atomic<std::size_t> m_interruptedBytes = 0;
    std::atomic<bool> m_mayEndIdle = false;
    std::atomic<bool> m_interrupted = false;
    /// Connection that is being served; -1 if there is none.
    std::atomic<int> m_connection = -1;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace lentilsaddle::testing_support
