/// @file
/// Ejection of backend servers that fail everything.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <map>
#include <optional>

namespace lentilsaddle::coordination {

struct OutlierDetectorOptions {
    /// Failures in a row after which a runner is ejected.
    int failuresToEject = 5;
    /// First ejection; doubled after each failed probe.
    std::chrono::milliseconds initialEjection { 500 };
    std::chrono::milliseconds maximumEjection { 30'000 };
    /// Pause after a runner announced that it leaves. Longer than the lag of the instance list, which then names it.
    std::chrono::milliseconds leavingEjection { 10'000 };
};

/// Ejects runners and probes them half-open: after the ejection one request is let through, and its result decides.
class OutlierDetector {
public:
    explicit OutlierDetector(const OutlierDetectorOptions& options);

    /// @return whether the runner may be given a request now.
    bool available(const state::InstanceId& server, state::MonotonicTime now) const;

    /// Notes that a request was given to the runner, which is the probe if the runner was ejected.
    void recordDispatch(const state::InstanceId& server);

    void recordSuccess(const state::InstanceId& server);

    /// @return whether this failure ejected the runner.
    bool recordFailure(const state::InstanceId& server, state::MonotonicTime now);

    /// Ejects a runner that refused a request before start, since it is full or leaving.
    void recordRefusal(const state::InstanceId& server, state::MonotonicTime now);

    /// Ejects a runner that announced that it leaves.
    void recordLeaving(const state::InstanceId& server, state::MonotonicTime now);

    /// Forgets a runner that is no longer listed.
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
