/// @file
/// Carries out what gang coordinators decide.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/decisions/GangCoordinator.h"
#include "protocol/WorkerClient.h"
#include "protocol/WorkerResponse.h"
#include "state/JobSpecification.h"
#include "state/Record.h"
#include "state/Worker.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// All attempts of this scheduler, with their calls to workers and the renewal of their leases.
class GangRunner {
public:
    struct Hooks {
        /// @return the worker, or null if it is unknown.
        std::function<const state::Worker*(const state::WorkerId&)> findWorker;
        /// The coordinator wants its outcome recorded as AttemptEnded.
        std::function<void(const state::JobId&)> onOutcomeReady;
        /// No worker holds the gang any more.
        std::function<void(const state::JobId&)> onWorkersReleased;
        /// The attempt is over and was forgotten.
        std::function<void(const state::JobId&)> onEnded;
        /// A task began to run, or could not run, on the worker.
        std::function<void(const state::WorkerId&, const state::JobId&, bool succeeded)> onStartResult;
        /// A worker has seen a higher epoch.
        std::function<void(std::uint64_t epoch)> onHigherEpoch;
        /// Called after each answer.
        std::function<void()> onResponse;
    };
    struct Options {
        GangCoordinator::Options gang;
        std::chrono::milliseconds renewInterval { 10'000 };
    };

    /// @param client and environment outlive this object.
    GangRunner(protocol::WorkerClient& client, const TaskEnvironment& environment, Options options, Hooks hooks);

    /// @param epoch epoch of this instance as scheduler.
    void beginEpoch(std::uint64_t epoch);
    /// Forgets all gangs without touching the workers, which belong to the next scheduler.
    void endEpoch();

    /// Begins a claimed attempt.
    void begin(const state::JobSpecification& job, const state::Record::StartClaim& claim);
    /// Takes over an attempt of an earlier scheduler.
    void recover(const state::JobSpecification& job, const state::Record::StartClaim& claim,
        const GangCoordinator::RecoveryReports& reports, state::MonotonicTime silentUntil);
    void cancel(const state::JobId& job);
    void preempt(const state::JobId& job);
    /// AttemptEnded was read back.
    void endRecorded(const state::JobId& job);

    /// Releases tasks that a worker reports and that belong to no attempt in progress.
    void releaseOrphanedTasks(const state::WorkerId& worker, const std::vector<state::WorkerTask>& tasks);

    void tick(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextTick() const;

    const GangCoordinator* find(const state::JobId& job) const;
    const state::Record::StartClaim* claim(const state::JobId& job) const;
    /// @return whether an attempt has not yet started or given up all of its tasks.
    bool startInFlight() const;
    /// @return whether an attempt is being stopped or its end is not recorded yet.
    bool endInFlight() const;
    std::size_t runningGangs() const;
    bool empty() const { return m_gangs.empty(); }

private:
    struct Gang {
        state::JobSpecification job;
        state::Record::StartClaim claim;
        GangCoordinator coordinator;
        bool reportedLeased = false;
        bool reportedRunning = false;
        bool reportedReleased = false;
    };
    using Event = std::function<GangCoordinator::Commands(GangCoordinator&)>;

    Gang& add(const state::JobSpecification& job, const state::Record::StartClaim& claim);
    /// Attempt that a late answer belongs to.
    struct AttemptKey {
        state::JobId job;
        int attempt = 0;
        std::uint64_t epoch = 0;
    };

    AttemptKey attemptKey(const Gang& gang) const;
    /// Feeds an event to a gang, if the attempt is still in progress, and carries out the commands.
    void applyEvent(const AttemptKey& key, const Event& event);
    void execute(Gang& gang, const GangCoordinator::Commands& commands);
    void sendLease(Gang& gang, const state::Worker& worker);
    void sendStart(Gang& gang, const state::Worker& worker);
    void sendCheckpoint(Gang& gang, const state::Worker& worker);
    void sendRelease(Gang& gang, const state::Worker& worker);
    void reportPhase(Gang& gang);
    protocol::WorkerLease workerLease(const Gang& gang) const;
    /// Feeds a call's result to its gang, or ends the epoch if the worker has seen a higher one.
    void applyCallResult(const AttemptKey& key, const protocol::WorkerResponse& answer,
        const std::function<GangCoordinator::Commands(GangCoordinator&, GangCoordinator::CallResult)>& event);
    void renewAll();
    void renew(const state::Worker& worker, const std::vector<protocol::WorkerLease>& leases);
    void onRenewalResponse(const state::WorkerId& worker, const std::vector<protocol::WorkerLease>& leases,
        const protocol::WorkerResponse& answer, state::MonotonicTime sentAt);
    void reportTask(const state::WorkerId& worker, const state::WorkerTask& task);
    void recordGangEvent(const Gang& gang, const char* kind, const std::string& detail) const;

    protocol::WorkerClient& m_client;
    const TaskEnvironment& m_environment;
    Options m_options;
    Hooks m_hooks;
    std::uint64_t m_epoch = 0;
    std::map<state::JobId, Gang> m_gangs;
    state::MonotonicTime m_nextRenewal;
};

} // namespace lentilsaddle::coordination
