/// @file
/// Decides which queued jobs may start when part of the data centre is out of sight.
#pragma once

#include "state/Identifier.h"
#include "state/JobSpecification.h"
#include "state/Time.h"

#include <chrono>
#include <optional>
#include <set>

namespace lentilsaddle::coordination {

/// Separates the starts of successive schedulers without a shared clock.
///
/// A scheduler that cannot reach the log may go on starting repeatable jobs for the isolation limit. Its successor
/// therefore holds back the jobs that could run unseen on workers that did not answer the fence.
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
        /// The earlier scheduler gave up the role, or its process is known to have ended. There may be none.
        bool predecessorInactive = false;
        /// Repeatable jobs that were queued at the takeover and would fit on the silent workers alone. Of any other
        /// job, a worker that answered would have reported a task.
        std::set<state::JobId> queued;
        /// Workers that did not answer the fence.
        std::set<state::WorkerId> unresponsive;
    };

    explicit FailoverPolicy(const Options& options);

    void begin(Failover failover);
    /// The earlier scheduler's process is now known to have ended.
    void predecessorEnded(state::MonotonicTime now);
    /// A worker answered the fence later, so nothing can run there unseen.
    void workerResponded(const state::WorkerId& worker);

    /// @return until when a job must wait, or nothing if it may start.
    std::optional<state::MonotonicTime> blockedUntil(const state::JobId& job, state::MonotonicTime now) const;

    /// @return when a task that the earlier scheduler started on a silent worker has certainly ended.
    state::MonotonicTime orphanedTasksEndBy() const { return m_orphanedTasksEndBy; }

    /// @param lastConfirmed time before the last append was sent that the log confirmed.
    /// @return whether the elected scheduler may start a job while the log is unavailable.
    bool mayStartWithoutLog(
        const state::JobSpecification& job, state::MonotonicTime lastConfirmed, state::MonotonicTime now) const;

private:
    Options m_options;
    Failover m_failover;
    state::MonotonicTime m_orphanedTasksEndBy;
};

} // namespace lentilsaddle::coordination
