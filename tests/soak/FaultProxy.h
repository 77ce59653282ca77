/// @file
/// Loopback TCP proxy that injects network faults.
#pragma once

#include "transport/Task.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lentilsaddle::soak {

/// Fault that a proxy applies to all its connections.
struct FaultProxyMode {
    enum class Kind {
        Pass,
        /// Bytes are forwarded after FaultProxyMode::delay.
        Delay,
        /// Nothing is forwarded in either direction, and connections stay open; applies to open connections too.
        Stall,
        /// Bytes from the client are forwarded, bytes from the server are not.
        StallResponses,
        /// Open connections and new ones are reset.
        Reset,
        /// Open connections are reset, and new ones are refused because nothing listens on the port.
        Refuse,
        /// Requests on open connections are forwarded, and the connection closes in place of their response. New
        /// connections are refused.
        CutResponses,
        /// All connections together forward at most FaultProxyMode::bytesPerSecond to their clients.
        Throttle,
    };
    Kind kind = Kind::Pass;
    std::chrono::milliseconds delay { 0 };
    std::size_t bytesPerSecond = 0;
};

/// Forwards TCP connections from one loopback port to another and applies the fault mode that was posted last. Bytes
/// buffered in a stall mode are forwarded when the stall ends.
class FaultProxy : public transport::Task<FaultProxyMode> {
public:
    FaultProxy(std::uint16_t listenPort, std::uint16_t targetPort);
    ~FaultProxy() override;

protected:
    void onStart() override;
    void onStop() override;
    void onMessage(FaultProxyMode mode) override;

private:
    struct Connection;

    /// Opens the listening socket; no effect while it is open.
    void openListener();
    void closeListener();
    void acceptConnection();
    void onReadable(int descriptor);
    void forward(const std::shared_ptr<Connection>& connection, bool fromClient, const std::string& bytes);
    void flush(const std::shared_ptr<Connection>& connection);
    void closeConnection(const std::shared_ptr<Connection>& connection, bool reset);
    bool isStalled(bool fromClient) const;
    /// Forwards the share of bytes of one throttle interval to the clients, as long as the mode is Throttle.
    void forwardThrottled();

    std::uint16_t m_listenPort = 0;
    std::uint16_t m_targetPort = 0;
    int m_listener = -1;
    FaultProxyMode m_mode;
    transport::EventLoop::TimerId m_throttleTimer = 0;
    /// Each connection is listed under both its client and its server descriptor.
    std::map<int, std::shared_ptr<Connection>> m_connections;
};

} // namespace lentilsaddle::soak
