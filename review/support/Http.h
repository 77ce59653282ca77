/// @file
/// Small blocking HTTP/1.1 server for the stand-ins of the review.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace lentilsaddle::review {

/// Adds a line to the record of a case.
using Log = std::function<void(const std::string& text)>;

struct ServerRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct ServerResponse {
    int status = 200;
    std::string body = "{}";
    /// Resets the connection in place of a response.
    bool reset = false;
};

/// Serves each connection on its own thread. While it is down, its port refuses connections.
class Server {
public:
    using Handler = std::function<ServerResponse(const ServerRequest&)>;

    Server(std::uint16_t port, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void start();
    /// Closes the listening socket and resets all connections.
    void stop();

    std::uint16_t port() const { return m_port; }

private:
    void acceptConnections(int listener);
    void serve(int connection);

    std::uint16_t m_port;
    Handler m_handler;
    std::mutex m_mutex;
    int m_listener = -1;
    std::set<int> m_connections;
    std::atomic<int> m_threads = 0;
    std::thread m_acceptor;
};

} // namespace lentilsaddle::review
