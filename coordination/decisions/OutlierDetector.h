/// @file
/// Ejection of backend servers that fail all requests.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <map>
#include <optional>

namespace lentilsaddle::coordination {

struct OutlierDetectorOptions {
    /// Failures in a row after which a server is ejected.
    int failuresToEject = 5;
    /// Duration of the first ejection; doubled after each failed probe.
    std::chrono::milliseconds initialEjection { 500 };
    std::chrono::milliseconds maximumEjection { 30'000 };
    /// Ejection of a server that announced that it is leaving. Longer than the lag of the instance list, which then
    /// shows it as leaving.
    std::chrono::milliseconds leavingEjection { 10'000 };
};

/// Circuit breaker for servers: after an ejection, one request is dispatched as a probe, and its result ends or
/// prolongs the ejection.
class OutlierDetector {
public:
    explicit OutlierDetector(const OutlierDetectorOptions& options);

    /// @return whether the server may get a request now.
    bool available(const state::InstanceId& server, state::MonotonicTime now) const;

    /// Records a request that was dispatched to the server, which is the probe if the server was ejected.
    void recordDispatch(const state::InstanceId& server);

    void recordSuccess(const state::InstanceId& server);

    /// @return whether this failure ejected the server.
    bool recordFailure(const state::InstanceId& server, state::MonotonicTime now);

    /// Ejects a server that refused a request before its start, since it is full or leaving.
    void recordRefusal(const state::InstanceId& server, state::MonotonicTime now);

    /// Ejects a server that announced that it is leaving.
    void recordLeaving(const state::InstanceId& server, state::MonotonicTime now);

    /// Removes a server that is no longer listed.
    void forget(const state::InstanceId& server);

    /// @return when the next ejection after `now` ends, if any.
    std::optional<state::MonotonicTime> nextProbe(state::MonotonicTime now) const;

private:
    struct Server {
        int failuresInRow = 0;
        int ejections = 0;
        std::optional<state::MonotonicTime> ejectedUntil;
        bool probing = false;
    };

    void eject(Server& server, state::MonotonicTime now);

    OutlierDetectorOptions m_options;
    std::map<state::InstanceId, Server> m_servers;
};

} // namespace lentilsaddle::coordination
