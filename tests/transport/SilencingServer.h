/// @file
/// HTTP server whose open connections go silent while new ones work.
#pragma once

#include "tests/transport/LoopbackListener.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lentilsaddle::testing_support {

/// Listens on a loopback port and answers each request without a body with 200 after a delay.
class SilencingServer {
public:
    /// @param body body of the responses.
    /// @param delay delay of the responses, so that simultaneous requests need a connection each.
    SilencingServer(const std::string& body, std::chrono::milliseconds delay);
    ~SilencingServer();
    SilencingServer(const SilencingServer&) = delete;
    SilencingServer& operator=(const SilencingServer&) = delete;

    /// @return base URL, without a trailing slash.
    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_listener.port()); }
    /// @return number of accepted connections.
    int connections() const { return m_accepted; }
    /// From now on no request on a connection that is open now gets a response. The connections stay open.
    void silenceOpenConnections() { m_silentUpTo = m_accepted.load(); }

private:
    void serve();
    /// @param number number of the connection, from 1.
    void serveConnection(int connection, int number) const;

    std::string m_response;
    std::chrono::milliseconds m_delay;
    LoopbackListener m_listener;
    std::atomic<int> m_accepted = 0;
    /// Connections up to this number are silent.
    std::atomic<int> m_silentUpTo = 0;
    std::mutex m_mutex;
    std::vector<int> m_connections;
    std::vector<std::thread> m_workers;
    std::thread m_thread;
};

} // namespace lentilsaddle::testing_support
