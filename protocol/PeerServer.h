/// @file
/// Server side of the gRPC service between entry instances.
#pragma once

#include "protocol/LogClient.h"
#include "protocol/PeerStatus.h"
#include "state/Record.h"
#include "state/TimelineEvent.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::protocol {

struct PeerServerOptions {
    /// IPv4 address to listen on.
    std::string address = "127.0.0.1";
    /// 0 picks a free port.
    std::uint16_t port = 0;
    /// Maximum number of threads that gRPC may start for the server.
    int maximumThreads = 4;
};

/// Serves the calls of peers.
///
/// The handlers run on the completion thread and may only post a message to a task. `reply` may be called on any
/// thread; replies after the destruction of the server are dropped.
class PeerServer {
public:
    struct Handlers {
        std::function<void(PeerStatus, std::function<void(PeerStatus)> reply)> exchange;
        std::function<void(std::string stream, state::LogOffset offset, std::chrono::milliseconds wait,
            std::function<void(LogClient::ReadResult)> reply)>
            readLog;
        std::function<void(std::string stream, std::vector<std::string> records,
            std::function<void(bool appended, state::LogOffset firstOffset)> reply)>
            appendLog;
        /// An empty subject selects all events.
        std::function<void(std::string subject, std::function<void(std::vector<state::TimelineEvent>)> reply)>
            readTimeline;
        std::function<void(std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> reply)>
            readConfiguration;
    };

    /// @throws TransportError if the address cannot be bound.
    PeerServer(const PeerServerOptions& options, Handlers handlers);

    /// Cancels all calls in progress.
    ~PeerServer();

    std::uint16_t port() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::protocol
