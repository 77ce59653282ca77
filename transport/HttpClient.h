/// @file
/// HTTP/1.1 client on libcurl's multi interface, driven by an event loop.
#pragma once

#include "transport/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lentilsaddle::transport {

class EventLoop;

struct HttpCall {
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    /// Limit for the whole call, from connecting to the last byte of the answer.
    std::chrono::milliseconds timeout { 10'000 };
    /// Sends on a new connection. libcurl silently sends a request again when a reused connection turns out to be
    /// closed, which would run a non-repeatable request twice.
    bool freshConnection = false;
};

enum class HttpFailure {
    None,
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent at least in part, and no complete answer came.
    ResponseLost,
};

struct HttpResult {
    HttpFailure failure = HttpFailure::None;
    /// Valid if failure is None.
    HttpResponse response;
    /// Text for people if failure is not None.
    std::string error;
    bool timedOut = false;
};

struct HttpClientOptions {
    std::size_t maximumConnectionsPerHost = 64;
    std::size_t maximumConnections = 4096;
};

/// HTTP client. All calls belong to the loop's thread.
class HttpClient {
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(HttpResult)>;

    HttpClient(EventLoop& loop, const HttpClientOptions& options);

    /// Drops all calls in flight without calling back.
    ~HttpClient();

    /// Starts a call; the callback runs later, never within send().
    CallId send(const HttpCall& call, Callback callback);

    /// Abandons a call; its callback does not run.
    void cancel(CallId call);

    std::size_t callsInFlight() const;

    /// Changes the limit for later calls. At the limit, an idle connection is closed for a new one, or the call waits.
    void setMaximumConnectionsPerHost(std::size_t connections);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::transport
