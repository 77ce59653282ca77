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

/// Request of HttpClient with its transmission options.
struct HttpCall {
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    /// Time limit of the whole call, from connecting to the last byte of the response; with a stall timeout, of the
    /// time to the first byte of the response.
    std::chrono::milliseconds timeout { 10'000 };
    /// If positive, a response that has begun may take any time, and fails when no byte of it arrives for this long.
    /// For responses of unbounded size, whose transfer time no fixed limit of the call covers.
    std::chrono::milliseconds stallTimeout { 0 };
    /// Sends the request again, once, if a reused connection is closed before the first byte of the response; other
    /// calls fail with ResponseLost. The server may have executed both requests, so this is only for requests whose
    /// second execution has no further effect. A refusal may be that of the second request only.
    bool repeatable = false;
    /// Opens a new connection for the call, so that a server that closes idle connections cannot lose its response.
    bool freshConnection = false;
};

enum class HttpFailure {
    None,
    /// No byte of the request was sent.
    NotSent,
    /// At least part of the request was sent, and no complete response was received.
    ResponseLost,
};

struct HttpResult {
    HttpFailure failure = HttpFailure::None;
    /// Valid if failure is None.
    HttpResponse response;
    /// Human-readable error message if failure is not None.
    std::string error;
    bool timedOut = false;
    /// Connections that were opened for the call.
    int newConnections = 0;
    /// Bytes of the response body that had arrived, also of a response that was not received completely.
    std::size_t receivedBytes = 0;
};

struct HttpClientOptions {
    std::size_t maximumConnectionsPerHost = 64;
    /// For all servers together. At the limit, an idle connection is closed for a new one, or the call is queued.
    std::size_t maximumConnections = 4096;
    /// Number of groups that the servers are distributed over. The cost of a call grows with the connections and
    /// queued calls of its group; each group has an equal share of the maximum number of connections.
    std::size_t connectionGroups = 1;
    /// A call whose response body is larger fails. Above all lists of the platform and batches of the store, so that
    /// only a server that sends without end meets it.
    std::size_t maximumResponseBytes = 64 << 20;
};

/// Asynchronous HTTP client that reuses connections. A request is sent once unless the call is repeatable. All methods
/// must be called on the loop's thread.
class HttpClient {
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(HttpResult)>;

    HttpClient(EventLoop& loop, const HttpClientOptions& options);

    /// Cancels all calls in flight; their callbacks do not run.
    ~HttpClient();

    /// Starts a call; the callback runs later, never within send().
    CallId send(const HttpCall& call, Callback callback);

    /// Cancels a call; its callback does not run. Unknown or completed calls are ignored.
    void cancel(CallId call);

    std::size_t callsInFlight() const;

    /// Sets the maximum number of connections to one server for later calls. At the limit, an idle connection is closed
    /// for a new one, or the call is queued.
    void setMaximumConnectionsPerHost(std::size_t connections);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::transport
