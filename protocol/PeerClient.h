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
    /// Bound on the threads that gRPC may start for the channels.
    int maximumThreads = 4;
    /// Longest time between two attempts to connect, so that a healed partition is noticed soon.
    std::chrono::milliseconds maximumReconnectDelay { 1'000 };
};

/// Calls peers by their `ip:port`. The callbacks run on the client's thread and only post; each runs once, with nothing
/// if the call failed. Calls may be made from one thread only.
class PeerClient {
public:
    explicit PeerClient(const PeerClientOptions& options);

    /// Cancels all calls; their callbacks run before the destructor returns.
    ~PeerClient();

    void exchange(const std::string& address, const PeerStatus& own, std::chrono::milliseconds timeout,
        std::function<void(std::optional<PeerStatus>)> callback);

    /// @param wait time that the peer may hold the answer back until there is a record; the timeout counts from its
    /// end.
    void readLog(const std::string& address, const std::string& stream, state::LogOffset offset,
        std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
        std::function<void(LogClient::ReadResult)> callback);

    /// A failed call is always unresolved, since gRPC does not tell whether the peer got it.
    void appendLog(const std::string& address, const std::string& stream, const std::vector<std::string>& records,
        std::chrono::milliseconds timeout, std::function<void(LogClient::AppendResult)> callback);

    /// @param subject empty reads all events.
    void readTimeline(const std::string& address, const std::string& subject, std::chrono::milliseconds timeout,
        std::function<void(std::optional<std::vector<state::TimelineEvent>>)> callback);

    void readConfiguration(const std::string& address, std::chrono::milliseconds timeout,
        std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> callback);

    /// Closes the channels to all other addresses.
    void closeChannelsExcept(const std::set<std::string>& addresses);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::protocol
