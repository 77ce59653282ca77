/// @file
/// HTTP server that answers or drops each request as a test decides.
#pragma once

#include "tests/transport/LoopbackListener.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace lentilsaddle::testing_support {

/// Listens on a loopback port and serves one connection at a time, which stays open between requests.
class ScriptedServer {
public:
    struct Response {
        int status = 200;
        std::string body;
        /// Refuses connections from now on.
        bool stopListening = false;
    };

    /// Decides on a request, on the server's thread.
    /// @param number number of the request, from 1.
    /// @return the response; empty closes the connection without a response.
    using Script = std::function<std::optional<Response>(int number)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    /// @return `HOST:PORT`.
    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }
    /// @return base URL, without a trailing slash.
    std::string url() const { return "http://" + address(); }
    /// @return number of requests that have arrived completely.
    int requests() const { return m_requests; }
    /// @return number of accepted connections.
    int connections() const { return m_connections; }

private:
    void serve();
    void serveConnection(int connection);
    /// @return whether the connection stays open.
    bool respond(int connection);

    Script m_script;
    LoopbackListener m_listener;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_connections = 0;
    /// Connection that is being served; -1 if there is none.
    std::atomic<int> m_connection = -1;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace lentilsaddle::testing_support
