/// @file
/// Client side of the gRPC service between entry instances.
#pragma once

#include "protocol/LogClient.h"
#include "protocol/PeerStatus.h"
#include "state/Record.h"
#include "state/TimelineEvent.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::protocol {

struct PeerClientOptions {
    /// Maximum number of threads that gRPC may start for the channels.
    int maximumThreads = 4;
    /// Maximum delay between two connection attempts, so that peers reconnect soon after a network partition ends.
    std::chrono::milliseconds maximumReconnectDelay { 1'000 };
};

/// Asynchronous client for the peers of an entry instance, which are addressed by `ip:port`.
///
/// Each callback runs once, on the completion thread, where it may only post a message to a task. If the call failed,
/// it receives std::nullopt or a failed result. All methods must be called from the same thread.
class PeerClient {
public:
    explicit PeerClient(const PeerClientOptions& options);

    /// Cancels all calls; their callbacks run before the destructor returns.
    ~PeerClient();

    /// Sends the status of this instance and receives the status of the peer.
    void exchange(const std::string& address, const PeerStatus& ownStatus, std::chrono::milliseconds timeout,
        std::function<void(std::optional<PeerStatus>)> callback);

    /// @param wait time that the peer may delay the response until there is a record.
    /// @param timeout time limit of the call in addition to wait.
    void readLog(const std::string& address, const std::string& stream, state::LogOffset offset,
        std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
        std::function<void(LogClient::ReadResult)> callback);

    /// A failed call is always reported as Unresolved, since gRPC does not report whether the peer received it.
    void appendLog(const std::string& address, const std::string& stream, const std::vector<std::string>& records,
        std::chrono::milliseconds timeout, std::function<void(LogClient::AppendResult)> callback);

    /// @param subject subject of the events to read; all events if empty.
    void readTimeline(const std::string& address, const std::string& subject, std::chrono::milliseconds timeout,
        std::function<void(std::optional<std::vector<state::TimelineEvent>>)> callback);

    void readConfiguration(const std::string& address, std::chrono::milliseconds timeout,
        std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> callback);

    /// Closes the channels to all addresses that are not in the set.
    void closeChannelsExcept(const std::set<std::string>& addresses);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::protocol
