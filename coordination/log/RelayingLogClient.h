/// @file
/// Way to the log service: the own connection, or a relay through a peer.
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

/// Sends calls over the own connection and, while that fails, alternately through a peer. Belongs to the loop's thread.
class RelayingLogClient {
public:
    /// @param options the relay hooks in it must call back on the loop's thread.
    /// @param onDirectReachabilityChange called when the own connection starts to work or to fail.
    RelayingLogClient(transport::EventLoop& loop, const LogTaskOptions& options,
        std::function<void(bool reachable)> onDirectReachabilityChange);
    ~RelayingLogClient();
    RelayingLogClient(const RelayingLogClient&) = delete;
    RelayingLogClient& operator=(const RelayingLogClient&) = delete;

    /// The service of the own connection, for calls on behalf of peers: a relay must not relay again.
    protocol::LogClient& directClient() { return m_client; }

    bool directUnreachable() const { return m_directReachable == false; }

    void append(const std::string& stream, const std::vector<std::string>& records,
        protocol::LogClient::AppendCallback callback);
    void read(const std::string& stream, state::LogOffset offset, std::chrono::milliseconds wait,
        protocol::LogClient::ReadCallback callback);

private:
    bool useRelay(bool available) const { return available && directUnreachable() && !m_relayFailed; }
    void updateDirectReachability(const std::string& stream, bool succeeded);
    /// Asks the service in regular intervals while the own connection fails, since no other call may be due.
    void scheduleProbe(const std::string& stream);

    transport::EventLoop& m_loop;
    LogTaskOptions m_options;
    std::function<void(bool)> m_onDirectReachabilityChange;
    protocol::LogClient m_client;
    /// Result of the last call; nothing before the first one.
    std::optional<bool> m_directReachable;
    bool m_relayFailed = false;
    transport::EventLoop::TimerId m_probeTimer = 0;
    /// Lets the answer of a relay that comes after the destruction find out.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination
