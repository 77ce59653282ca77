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
/// Every event returns the commands that follow from it. Leases are counted from before their request was sent and end
/// early by the margin; mayStart() is to be asked again right before each start, because the process may have been
/// paused in between. After a refusal, a lapse or an order to end, nothing more is started and every worker is released
/// until it confirms or until its lease has certainly ended.
class GangCoordinator {
public:
    enum class Phase {
        Reserving,
        Starting,
        Running,
        Checkpointing,
        /// All tasks succeeded; the end is being recorded before the workers forget it.
        Succeeded,
        Releasing,
        /// Every worker is free; the end is being recorded.
        Released,
        Ended,
    };

    enum class CallResult {
        Ok,
        /// The worker did not do it.
        Refused,
        /// The worker may have done it.
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

    /// What workers reported of an attempt that an earlier scheduler claimed. A worker that did not answer is absent;
    /// one that answered without the task has no value.
    using RecoveryReports = std::map<state::WorkerId, std::optional<state::WorkerTask::State>>;

    GangCoordinator(const Options& options, const std::vector<state::WorkerId>& workers);

    /// Begins a freshly claimed attempt.
    Commands begin();

    /// Takes over an attempt of an earlier scheduler: adopts it if all of its tasks run or have succeeded, else
    /// releases it.
    /// @param silentUntil when a task on a worker that did not answer has certainly ended, unless it is renewed here.
    Commands recover(const RecoveryReports& reports, state::MonotonicTime silentUntil, state::MonotonicTime now);

    /// @param sentAt time before the request was sent.
    Commands handleLeaseResult(
        const state::WorkerId& worker, CallResult result, state::MonotonicTime sentAt, state::MonotonicTime now);

    /// @return whether every lease still holds, so that a start may be sent now.
    bool mayStart(state::MonotonicTime now) const;

    /// A start was held back because mayStart() no longer held.
    Commands startSkipped(state::MonotonicTime now);
    /// A start is about to be sent; from here the task may run.
    void startSent(const state::WorkerId& worker);
    Commands handleStartResult(const state::WorkerId& worker, CallResult result, state::MonotonicTime now);

    Commands renewed(const state::WorkerId& worker, state::MonotonicTime sentAt);
    /// A renewal got no answer or was refused.
    Commands renewalFailed(const state::WorkerId& worker, state::MonotonicTime now);
    /// The worker no longer holds the lease.
    Commands leaseLost(const state::WorkerId& worker, state::MonotonicTime now);
    Commands taskReported(const state::WorkerId& worker, state::WorkerTask::State state, const std::string& reason,
        state::MonotonicTime now);

    Commands preempt(state::MonotonicTime now);
    Commands handleCheckpointResult(const state::WorkerId& worker, CallResult result, state::MonotonicTime now);
    Commands cancel(state::MonotonicTime now);
    Commands handleReleaseResult(const state::WorkerId& worker, CallResult result, state::MonotonicTime now);
    /// AttemptEnded was read back from the log.
    Commands endRecorded();
    /// Applies deadlines and repeats releases that were not confirmed.
    Commands tick(state::MonotonicTime now);

    Phase phase() const { return m_phase; }
    const GangOutcome& outcome() const { return m_outcome; }
    bool holdsLease(const state::WorkerId& worker) const;
    /// @return whether the task's end or start is still open at the worker, so that its lease is to be renewed.
    bool needsRenewal(const state::WorkerId& worker) const;
    /// @return when tick() has something to do, or nothing if only events matter.
    std::optional<state::MonotonicTime> nextTick() const;

private:
    struct Member {
        /// A lease that arrives after its release would stay until it lapses, so the release waits for the answer.
        bool leaseInFlight = false;
        bool leased = false;
        bool startSent = false;
        bool started = false;
        bool succeeded = false;
        bool checkpointed = false;
        bool released = false;
        bool releaseInFlight = false;
        /// End of the lease by the holder's count.
        state::MonotonicTime deadline;
        /// When an unconfirmed release is sent again.
        state::MonotonicTime retryAt;
        /// When the lease has ended at the worker too, if the release is not confirmed.
        std::optional<state::MonotonicTime> freeAt;
    };

    Commands release(const char* outcome, const std::string& reason, const state::WorkerId& blamed);
    Commands releaseAll();
    Commands stopUncheckpointed(const std::string& reason);
    void adoptMember(
        Member& member, const std::optional<state::WorkerTask::State>& reported, state::MonotonicTime deadline);
    Commands settle();
    Commands checkDeadlines(state::MonotonicTime now);
    bool beforeRelease() const;
    bool anyStartSent() const;
    template <typename Predicate> bool all(Predicate predicate) const;
    Commands forAll(GangCommand::Kind kind) const;

    Options m_options;
    std::map<state::WorkerId, Member> m_members;
    Phase m_phase = Phase::Reserving;
    GangOutcome m_outcome;
    state::MonotonicTime m_checkpointDeadline;
};

} // namespace lentilsaddle::coordination
