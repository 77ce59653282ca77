/// @file
/// Keeps jobs away from workers that fail everything they start.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace lentilsaddle::coordination {

/// A worker whose last starts of different jobs all failed is closed for a time, then probed with one small job. Starts
/// of one job count once, since the job itself may be at fault.
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

    /// @return whether the worker was closed by this failure.
    bool startFailed(const state::WorkerId& worker, const state::JobId& job, state::MonotonicTime now);
    void startSucceeded(const state::WorkerId& worker);
    /// Notes that a job was sent to a half-open worker; until its result no other job may follow.
    void probeStarted(const state::WorkerId& worker, const state::JobId& job);
    /// Notes that a gang ended without a result from the worker, so that the probe may be repeated.
    void probeAbandoned(const state::WorkerId& worker, const state::JobId& job);

    State state(const state::WorkerId& worker, state::MonotonicTime now) const;

    /// @return when the next closed worker becomes half-open.
    std::optional<state::MonotonicTime> nextChange(state::MonotonicTime now) const;

private:
    struct History {
        std::deque<state::JobId> failedJobs;
        std::optional<state::MonotonicTime> closedUntil;
        std::chrono::milliseconds duration { 0 };
        state::JobId probe;
    };

    Options m_options;
    std::map<state::WorkerId, History> m_histories;
};

} // namespace lentilsaddle::coordination
