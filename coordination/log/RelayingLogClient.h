/// @file
/// Log client that falls back to a relay through a peer.
#pragma once

#include "coordination/log/LogTaskOptions.h"
#include "protocol/LogClient.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Sends calls to the log service directly and, while the direct connection fails, through a peer. After a failed
/// relayed call, the next call is tried directly. Used on the loop's thread only.
class RelayingLogClient {
public:
    /// @param options the relay hooks in it must call back on the loop's thread.
    /// @param onDirectReachabilityChange called when the service becomes reachable or unreachable directly.
    RelayingLogClient(transport::EventLoop& loop, const LogTaskOptions& options,
        std::function<void(bool reachable)> onDirectReachabilityChange);
    ~RelayingLogClient();
    RelayingLogClient(const RelayingLogClient&) = delete;
    RelayingLogClient& operator=(const RelayingLogClient&) = delete;

    /// @return client of the direct connection, for calls on behalf of peers: a relayed call must not be relayed again.
    protocol::LogClient& directClient() { return m_client; }

    bool directUnreachable() const { return m_directReachable == false; }

    void append(const std::string& stream, const std::vector<std::string>& records,
        protocol::LogClient::AppendCallback callback);
    void read(const std::string& stream, state::LogOffset offset, std::chrono::milliseconds wait,
        protocol::LogClient::ReadCallback callback);

private:
    bool useRelay(bool available) const { return available && directUnreachable() && !m_relayFailed; }
    void updateDirectReachability(const std::string& stream, bool succeeded);
    /// Probes the service at regular intervals while the direct connection fails, since no other call may be pending.
    void scheduleProbe(const std::string& stream);

    transport::EventLoop& m_loop;
    LogTaskOptions m_options;
    std::function<void(bool)> m_onDirectReachabilityChange;
    protocol::LogClient m_client;
    /// Whether the last direct call succeeded; empty before the first one.
    std::optional<bool> m_directReachable;
    bool m_relayFailed = false;
    transport::EventLoop::TimerId m_probeTimer = 0;
    /// Set to false by the destructor, so that a late relay response is ignored.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination
