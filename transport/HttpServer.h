/// @file
/// HTTP/1.1 server on libmicrohttpd, driven by an event loop.
#pragma once

#include "transport/BodyBudget.h"
#include "transport/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lentilsaddle::transport {

class EventLoop;

/// Sends the response of one request. Must be called once, on the loop's thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one complete request on the loop's thread; the response may follow later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions {
    /// IPv4 address to listen on.
    std::string address = "127.0.0.1";
    /// 0 picks a free port.
    std::uint16_t port = 0;
    /// Requests with a larger body get status 413.
    std::size_t maximumBodyBytes = 1 << 20;
    /// Maximum number of open connections; above it, the longest-idle connection without a request in flight is closed.
    /// Below the usual limit of 4,096 file descriptors, which outgoing connections and files share.
    unsigned connectionLimit = 2'000;
    /// A connection without traffic for this long is closed; zero means never.
    std::chrono::seconds idleTimeout { 0 };
    /// Memory of all unfinished requests; servers of one thread may share it. If empty, the server has its own with
    /// `requestMemoryBytes`.
    std::shared_ptr<BodyBudget> budget;
    /// Allows 1,200 clients with small requests and some hundred bodies of the largest size at once.
    std::size_t requestMemoryBytes = 256 << 20;
    /// Called with the reason of each request that a limit of this server refused or dropped.
    std::function<void(const std::string& reason)> onRefusal;
};

/// Asynchronous HTTP server. All methods must be called on the loop's thread.
class HttpServer {
public:
    /// @throws TransportError if the address cannot be bound.
    HttpServer(EventLoop& loop, const HttpServerOptions& options, HttpHandler handler);

    /// Closes all connections; requests without a response are dropped.
    ~HttpServer();

    std::uint16_t port() const;

    /// Stops accepting connections; established connections stay open.
    void stopListening();

    /// Calls the callback once, as soon as no request is in flight; immediately if there is none now.
    void whenIdle(std::function<void()> callback);

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::transport
