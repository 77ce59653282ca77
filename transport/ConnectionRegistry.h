/// @file
/// Open connections of an HTTP client.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace lentilsaddle::transport {

/// Open connections of an HTTP client by server, with the time of the last response on each. After a connection went
/// silent, the idle ones to the same server may have done so too, which only a timeout on each would show.
class ConnectionRegistry {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Adds a connection, which is idle.
    /// @param server authority part of the URL.
    void add(int descriptor, const std::string& server, Time now);
    void remove(int descriptor);

    /// Records whether a call uses the connection. Unknown descriptors are ignored.
    void setBusy(int descriptor, bool busy);
    /// Records a complete response on the connection. Unknown descriptors are ignored.
    void recordResponse(int descriptor, Time now);

    /// Shuts down the idle connections to a server on which no response has arrived since the given time, so that no
    /// call uses them. Their owner closes them.
    /// @return number of connections that were shut down.
    std::size_t shutDownIdle(const std::string& server, Time since);

private:
    struct Connection {
        std::string server;
        /// When the last response arrived; before the first one, when the connection was opened.
        Time lastResponse;
        bool busy = false;
    };

    std::unordered_map<int, Connection> m_connections;
};

} // namespace lentilsaddle::transport
