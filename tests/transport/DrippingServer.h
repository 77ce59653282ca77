/// @file
/// HTTP server that sends a response slowly.
#pragma once

#include "tests/transport/LoopbackListener.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <limits>
#include <string>
#include <thread>

namespace lentilsaddle::testing_support {

/// Listens on a loopback port, accepts one connection and answers its first request with status 200, sending one byte
/// of the body at a time.
class DrippingServer {
public:
    struct Options {
        std::string body;
        /// The other bytes are never sent. With 0, nothing is sent at all.
        std::size_t bytesSent = std::numeric_limits<std::size_t>::max();
        /// Delay before each byte of the body.
        std::chrono::milliseconds interval { 0 };
    };

    explicit DrippingServer(Options options);
    ~DrippingServer();
    DrippingServer(const DrippingServer&) = delete;
    DrippingServer& operator=(const DrippingServer&) = delete;

    /// @return base URL, without a trailing slash.
    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_listener.port()); }

private:
    void serve();

    Options m_options;
    LoopbackListener m_listener;
    /// Connection of the client; -1 before it is accepted.
    std::atomic<int> m_connection = -1;
    std::thread m_thread;
};

} // namespace lentilsaddle::testing_support
