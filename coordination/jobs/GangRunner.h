/// @file
/// Execution of the commands of gang coordinators.
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

/// Owns the attempts of this scheduler, sends their calls to workers and renews their leases.
class GangRunner {
public:
    struct Hooks {
        /// @return the worker, or null if it is unknown.
        std::function<const state::Worker*(const state::WorkerId&)> findWorker;
        /// The outcome of the attempt is known and is to be recorded as AttemptEnded.
        std::function<void(const state::JobId&)> onOutcomeReady;
        /// The gang no longer occupies any worker.
        std::function<void(const state::JobId&)> onWorkersReleased;
        /// The attempt has ended and was removed.
        std::function<void(const state::JobId&)> onEnded;
        /// A task was started on the worker, or failed to start or to run.
        std::function<void(const state::WorkerId&, const state::JobId&, bool succeeded)> onStartResult;
        /// A worker rejected a call because it has seen a higher epoch.
        std::function<void(std::uint64_t epoch)> onHigherEpoch;
        /// A worker responded to a call of the current epoch, or the call timed out.
        std::function<void()> onResponse;
    };
    struct Options {
        GangCoordinator::Options gang;
        std::chrono::milliseconds renewInterval { 10'000 };
    };

    /// @param client must outlive this object.
    /// @param environment must outlive this object.
    GangRunner(protocol::WorkerClient& client, const TaskEnvironment& environment, Options options, Hooks hooks);

    /// @param epoch epoch in which this instance is the scheduler.
    void beginEpoch(std::uint64_t epoch);
    /// Discards all gangs without calls to the workers, since the next scheduler adopts their tasks.
    void endEpoch();

    /// Starts a claimed attempt.
    void begin(const state::JobSpecification& job, const state::Record::StartClaim& claim);
    /// Adopts an attempt of an earlier scheduler.
    /// @param orphanedTasksEndBy when a task on a worker that did not acknowledge the fence has certainly ended.
    void recover(const state::JobSpecification& job, const state::Record::StartClaim& claim,
        const GangCoordinator::RecoveryReports& reports, state::MonotonicTime orphanedTasksEndBy);
    void cancel(const state::JobId& job);
    void preempt(const state::JobId& job);
    /// Handles that AttemptEnded was read back from the log.
    void endRecorded(const state::JobId& job);

    /// Releases tasks that a worker reports and that are part of no current attempt.
    void releaseOrphanedTasks(const state::WorkerId& worker, const std::vector<state::WorkerTask>& tasks);

    void tick(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextTick() const;

    const GangCoordinator* find(const state::JobId& job) const;
    const state::Record::StartClaim* claim(const state::JobId& job) const;
    /// @return whether an attempt is still acquiring its leases or starting its tasks.
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
    /// Attempt that a call was sent for; its response may arrive after the attempt has ended.
    struct AttemptKey {
        state::JobId job;
        int attempt = 0;
        std::uint64_t epoch = 0;
    };

    AttemptKey attemptKey(const Gang& gang) const;
    /// Passes an event to the gang's coordinator, if the attempt is still current, and executes the resulting commands.
    void applyEvent(const AttemptKey& key, const Event& event);
    void execute(Gang& gang, const GangCoordinator::Commands& commands);
    void sendLease(Gang& gang, const state::Worker& worker);
    void sendStart(Gang& gang, const state::Worker& worker);
    void sendCheckpoint(Gang& gang, const state::Worker& worker);
    void sendRelease(Gang& gang, const state::Worker& worker);
    void reportPhase(Gang& gang);
    protocol::WorkerLease workerLease(const Gang& gang) const;
    /// Passes the result of a call to the gang's coordinator, or reports that the worker has seen a higher epoch.
    void applyCallResult(const AttemptKey& key, const protocol::WorkerResponse& response,
        const std::function<GangCoordinator::Commands(GangCoordinator&, GangCoordinator::CallResult)>& event);
    void renewAll();
    void renew(const state::Worker& worker, const std::vector<protocol::WorkerLease>& leases);
    void onRenewalResponse(const state::WorkerId& worker, const std::vector<protocol::WorkerLease>& leases,
        const protocol::WorkerResponse& response, state::MonotonicTime sentAt);
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
