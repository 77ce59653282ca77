/// @file
/// Decides which queued jobs may start while workers or the log are unresponsive.
#pragma once

#include "state/Identifier.h"
#include "state/JobSpecification.h"
#include "state/Time.h"

#include <chrono>
#include <optional>
#include <set>

namespace lentilsaddle::coordination {

/// Prevents successive schedulers from starting the same job twice, without a shared clock.
///
/// A scheduler that cannot reach the log may continue to start repeatable jobs until the isolation limit. Its successor
/// therefore delays the jobs that may already run on workers that did not respond to the fence request.
class FailoverPolicy {
public:
    struct Options {
        std::chrono::milliseconds leaseTtl { 30'000 };
        std::chrono::milliseconds margin { 2'000 };
        std::chrono::milliseconds isolationLimit { std::chrono::hours(2) };
    };

    struct Failover {
        /// When this instance read the claim of its own epoch.
        state::MonotonicTime claimRead;
        /// The previous scheduler stepped down or its process is known to have ended, or there was none.
        bool predecessorInactive = false;
        /// Repeatable jobs that were queued at the failover and would fit on the unresponsive workers alone. Only
        /// repeatable jobs start without the log; of a job that needs further workers, one that responded would have
        /// reported a task.
        std::set<state::JobId> queued;
        /// Workers that did not respond to the fence request.
        std::set<state::WorkerId> unresponsive;
    };

    explicit FailoverPolicy(const Options& options);

    void begin(Failover failover);
    /// Records that the process of the previous scheduler has ended.
    void predecessorEnded(state::MonotonicTime now);
    /// Records that a worker responded to the fence request later, so that its tasks are known.
    void workerResponded(const state::WorkerId& worker);

    /// @return until when a job must wait, or nothing if it may start.
    std::optional<state::MonotonicTime> blockedUntil(const state::JobId& job, state::MonotonicTime now) const;

    /// @return when a task that the previous scheduler started on an unresponsive worker has certainly ended.
    state::MonotonicTime orphanedTasksEndBy() const { return m_orphanedTasksEndBy; }

    /// @param lastConfirmed time right before the last append that the log confirmed was sent.
    /// @return whether the elected scheduler may start a job while the log is unavailable.
    bool mayStartWithoutLog(
        const state::JobSpecification& job, state::MonotonicTime lastConfirmed, state::MonotonicTime now) const;

private:
    Options m_options;
    Failover m_failover;
    state::MonotonicTime m_orphanedTasksEndBy;
};

} // namespace lentilsaddle::coordination
