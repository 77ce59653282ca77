/// @file
/// Quarantine of workers on which every start fails.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace lentilsaddle::coordination {

/// A worker whose last starts of different jobs all failed gets no jobs for a time, then one small job as a probe.
/// Failures of one job count once, since the job itself may be the cause.
class WorkerQuarantine {
public:
    enum class State {
        Available,
        Quarantined,
        /// One small job may start as a probe.
        Probing,
    };

    struct Options {
        int failures = 3;
        std::chrono::milliseconds duration { 60'000 };
        /// Each failed probe doubles the duration up to this.
        std::chrono::milliseconds maximumDuration { 3'600'000 };
    };

    explicit WorkerQuarantine(const Options& options);

    /// @return whether this failure quarantined the worker.
    bool startFailed(const state::WorkerId& worker, const state::JobId& job, state::MonotonicTime now);
    void startSucceeded(const state::WorkerId& worker);
    /// Records that a job was sent to a worker as its probe; until its result no other job may start there.
    void probeStarted(const state::WorkerId& worker, const state::JobId& job);
    /// Records that a gang ended without a result from the worker, so that the probe may be repeated.
    void probeAbandoned(const state::WorkerId& worker, const state::JobId& job);
    /// The same if the worker has no run any more, whatever job was its probe.
    void probeVanished(const state::WorkerId& worker);

    State state(const state::WorkerId& worker, state::MonotonicTime now) const;

    /// @return when the next quarantined worker may get a probe.
    std::optional<state::MonotonicTime> nextChange(state::MonotonicTime now) const;

private:
    struct History {
        std::deque<state::JobId> failedJobs;
        std::optional<state::MonotonicTime> quarantinedUntil;
        std::chrono::milliseconds duration { 0 };
        state::JobId probe;
    };

    Options m_options;
    std::map<state::WorkerId, History> m_histories;
};

} // namespace lentilsaddle::coordination
