/// @file
/// State machine of one attempt of a gang.
#pragma once

#include "coordination/decisions/GangCommand.h"
#include "coordination/decisions/GangOutcome.h"
#include "state/Time.h"
#include "state/WorkerTask.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Starts all tasks of a gang or none, and ends all of them together.
///
/// Every event returns the commands that the caller must execute. A lease is timed from before its request was sent and
/// expires early by the margin; the caller must check mayStart() again right before each start, because the process may
/// have been paused in between. After a refusal, an expired lease, a preemption or a cancellation, nothing more is
/// started, and release requests are sent to every worker until it confirms one or its lease has certainly expired.
class GangCoordinator {
public:
    enum class Phase {
        Reserving,
        Starting,
        Running,
        Checkpointing,
        /// All tasks succeeded; the end is being recorded before the workers are released and drop their results.
        Succeeded,
        Releasing,
        /// Every worker is released; the end is being recorded.
        Released,
        Ended,
    };

    enum class CallResult {
        Ok,
        /// The request certainly had no effect.
        Refused,
        /// The request may have had an effect.
        Unknown,
    };

    struct Options {
        std::chrono::milliseconds leaseTtl { 30'000 };
        std::chrono::milliseconds leaseMargin { 2'000 };
        std::chrono::milliseconds checkpointLimit { 2'500 };
        /// Pause before an unconfirmed release is sent again.
        std::chrono::milliseconds releaseRetry { 1'000 };
        /// A non-repeatable job that is stopped without a complete checkpoint must not start again.
        bool repeatable = true;
    };

    using Commands = std::vector<GangCommand>;

    /// Task states that workers reported of an attempt that a previous scheduler claimed. A worker that did not respond
    /// is absent; one that responded without the task has no value.
    using RecoveryReports = std::map<state::WorkerId, std::optional<state::WorkerTask::State>>;

    GangCoordinator(const Options& options, const std::vector<state::WorkerId>& workers);

    /// Begins a newly claimed attempt.
    Commands begin();

    /// Recovers an attempt of a previous scheduler: adopts it if all of its tasks run or have succeeded, else releases
    /// it.
    /// @param orphanedTasksEndBy when a task on a worker that did not respond has certainly ended, unless its lease is
    /// renewed here.
    Commands recover(const RecoveryReports& reports, state::MonotonicTime orphanedTasksEndBy, state::MonotonicTime now);

    /// @param sentAt time before the request was sent.
    Commands handleLeaseResult(
        const state::WorkerId& worker, CallResult result, state::MonotonicTime sentAt, state::MonotonicTime now);

    /// @return whether every lease is still valid, so that a start may be sent now.
    bool mayStart(state::MonotonicTime now) const;

    /// Handles a start that was not sent because mayStart() returned false.
    Commands startSkipped(state::MonotonicTime now);
    /// Records that a start is about to be sent; from then on the task may run.
    void startSent(const state::WorkerId& worker);
    Commands handleStartResult(const state::WorkerId& worker, CallResult result, state::MonotonicTime now);

    Commands renewed(const state::WorkerId& worker, state::MonotonicTime sentAt);
    /// Handles a renewal that had no response or was refused.
    Commands renewalFailed(const state::WorkerId& worker, state::MonotonicTime now);
    /// Handles a report that the worker no longer holds the lease.
    Commands leaseLost(const state::WorkerId& worker, state::MonotonicTime now);
    Commands taskReported(const state::WorkerId& worker, state::WorkerTask::State state, const std::string& reason,
        state::MonotonicTime now);

    Commands preempt(state::MonotonicTime now);
    Commands handleCheckpointResult(const state::WorkerId& worker, CallResult result, state::MonotonicTime now);
    Commands cancel(state::MonotonicTime now);
    Commands handleReleaseResult(const state::WorkerId& worker, CallResult result, state::MonotonicTime now);
    /// Handles that AttemptEnded was read back from the log.
    Commands endRecorded();
    /// Applies deadlines and repeats unconfirmed releases.
    Commands tick(state::MonotonicTime now);

    Phase phase() const { return m_phase; }
    const GangOutcome& outcome() const { return m_outcome; }
    bool holdsLease(const state::WorkerId& worker) const;
    /// @return whether the lease on the worker must be renewed: it is held and the gang is not being released.
    bool needsRenewal(const state::WorkerId& worker) const;
    /// @return when tick() must be called next, or nothing if no deadline is pending.
    std::optional<state::MonotonicTime> nextTick() const;

private:
    struct Member {
        /// A lease request that arrives after its release would hold the accelerators until the lease expires, so the
        /// release waits for the response.
        bool leaseInFlight = false;
        bool leased = false;
        bool startSent = false;
        bool started = false;
        bool succeeded = false;
        bool checkpointed = false;
        bool released = false;
        bool releaseInFlight = false;
        /// Expiry of the lease as the scheduler counts it, early by the margin.
        state::MonotonicTime deadline;
        /// When an unconfirmed release is sent again.
        state::MonotonicTime retryAt;
        /// When the lease has certainly expired at the worker, if the release is not confirmed.
        std::optional<state::MonotonicTime> leaseExpiredAt;
    };

    Commands release(const char* outcome, const std::string& reason, const state::WorkerId& failedWorker);
    Commands releaseAll();
    Commands stopUncheckpointed(const std::string& reason);
    void adoptMember(
        Member& member, const std::optional<state::WorkerTask::State>& reported, state::MonotonicTime deadline);
    Commands finishRelease();
    Commands checkDeadlines(state::MonotonicTime now);
    bool beforeRelease() const;
    bool anyStartSent() const;
    template <typename Predicate> bool all(Predicate predicate) const;
    Commands commandForAll(GangCommand::Kind kind) const;

    Options m_options;
    std::map<state::WorkerId, Member> m_members;
    Phase m_phase = Phase::Reserving;
    GangOutcome m_outcome;
    state::MonotonicTime m_checkpointDeadline;
};

} // namespace lentilsaddle::coordination
