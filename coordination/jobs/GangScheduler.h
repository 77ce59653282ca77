/// @file
/// Job scheduling of the elected scheduler.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/decisions/FailoverPolicy.h"
#include "coordination/decisions/JobQueue.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/PlacementPolicy.h"
#include "coordination/jobs/GangRunner.h"
#include "coordination/jobs/SchedulerTaskOptions.h"
#include "coordination/jobs/WorkerFleet.h"
#include "coordination/log/RecordOutbox.h"
#include "protocol/WorkerClient.h"
#include "protocol/WorkerDirectory.h"
#include "state/JobTable.h"
#include "state/PlacementState.h"
#include "state/Record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::transport {
class HttpClient;
}

namespace lentilsaddle::coordination {

/// Starts, monitors and ends the gangs of one data centre while its instance is the scheduler.
///
/// Used on the scheduler task's thread only. The task owns the job table and passes each record that it reads from the
/// log to recordRead().
class GangScheduler {
public:
    struct Hooks {
        PlacementPolicy placementPolicy;
        /// Creates the policy that replaces placementPolicy when the configuration changes. May be empty.
        std::function<PlacementPolicy(const state::DataCentreProfile&)> policyFactory;
        /// Appends a record; the result is passed to appended().
        RecordOutbox::Append append;
        /// A worker has seen a higher epoch, so this instance is no longer the scheduler.
        std::function<void()> onLeadershipLost;
        /// A response changed the state, so tick() must be called.
        std::function<void()> onTickNeeded;
    };

    /// @param http must outlive this object.
    /// @param table must outlive this object.
    /// @param environment must outlive this object.
    GangScheduler(transport::HttpClient& http, const state::JobTable& table, const TaskEnvironment& environment,
        const SchedulerTaskOptions& options, Hooks hooks);

    /// Starts scheduling after this instance was elected.
    /// @param predecessor scheduler of the previous epoch; empty if there was none or it stepped down.
    void beginEpoch(std::uint64_t epoch, const state::InstanceId& predecessor, std::uint64_t predecessorIncarnation);
    void endEpoch();
    bool active() const { return m_epoch != 0; }
    /// @return epoch that this instance schedules in; 0 if it does not.
    std::uint64_t epoch() const { return m_epoch; }

    /// Handles a record that was read from the log and applied to the table.
    /// @param applied whether it changed the table.
    void recordRead(const state::Record& record, bool applied);
    /// Handles the result of an append.
    /// @param key key that was passed to the append hook.
    void appended(const std::string& key, LogMessage::AppendStatus status);
    void setLogReachable(bool reachable);
    void configure(const state::Configuration& configuration);

    /// Stops starting jobs, so that this instance can step down.
    void stopStarting() { m_startsEnabled = false; }
    /// @return whether a start is in flight, during which this instance must not step down.
    bool startInFlight() const { return !m_pendingClaims.empty() || m_runner.startInFlight(); }
    /// @return whether an attempt is ending whose outcome the successor would know less exactly.
    bool endInFlight() const { return m_runner.endInFlight() || (m_logReachable && !m_outbox.empty()); }

    /// Runs due timers and retries, and plans placements if something changed.
    void tick(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextTick(state::MonotonicTime now) const;

    /// @return the state of the job's current attempt as reported to callers; empty if there is none.
    std::optional<std::string> attemptState(const state::JobId& job) const;
    const state::PlacementState& placement() const { return m_placement; }
    const WorkerFleet& fleet() const { return m_fleet; }
    protocol::WorkerClient& workerClient() { return m_client; }
    std::size_t runningGangs() const { return m_runner.runningGangs(); }

private:
    WorkerFleet::Hooks fleetHooks();
    GangRunner::Hooks runnerHooks();
    static std::string claimKey(const state::JobId& job);
    bool isOwnRecord(const state::Origin& origin) const;
    void claimRead(const state::Record::StartClaim& claim, bool applied);
    void attemptEndRead(const state::Record::AttemptEnded& ended, bool applied);
    void cancelRead(const state::JobId& job);
    void jobEndRead(const state::Record::JobEnded& ended);

    void recover();
    void recoverJob(const state::JobTable::Job& job);
    bool mayFitOnUnresponsive(const state::JobTable::Job& job, const std::set<state::WorkerId>& unresponsive) const;
    void retryOrEnd(const state::JobTable::Job& job);
    void recordOutcomes();

    void plan(state::MonotonicTime now);
    void planProbes(const std::vector<QueuedJob>& queue, state::MonotonicTime now);
    std::vector<QueuedJob> eligibleJobs(state::MonotonicTime now);
    bool isEligible(const state::JobTable::Job& job, state::MonotonicTime now) const;
    /// @return whether the job was claimed.
    bool claimStart(const PlacementPlan::Start& start);
    void abandonProbes(const state::Record::StartClaim& claim);
    void dropClaim(const state::JobId& job);
    bool mayStartWithoutLog(const state::JobSpecification& job) const;
    void handleStartResult(const state::WorkerId& worker, const state::JobId& job, bool succeeded);
    void preempt(const state::JobId& job);
    void publishMetrics() const;

    const state::JobTable& m_table;
    const TaskEnvironment& m_environment;
    SchedulerTaskOptions m_options;
    Hooks m_hooks;
    protocol::WorkerClient m_client;
    protocol::WorkerDirectory m_directory;
    state::PlacementState m_placement;
    WorkerFleet m_fleet;
    GangRunner m_runner;
    RecordOutbox m_outbox;
    JobQueue m_queue;
    FailoverPolicy m_failoverPolicy;

    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    bool m_recovering = false;
    bool m_startsEnabled = true;
    bool m_planDue = false;
    bool m_logReachable = true;
    state::MonotonicTime m_epochStart;
    state::MonotonicTime m_plannedAt;
    /// Repeatable jobs that were queued when the SchedulerClaim of this epoch was read. An earlier scheduler cannot
    /// have read a later submission without reading the claim first.
    std::set<state::JobId> m_queuedAtClaim;
    state::InstanceId m_predecessor;
    std::uint64_t m_predecessorIncarnation = 0;
    /// Start claims that were appended and not yet read back.
    std::map<state::JobId, state::Record::StartClaim> m_pendingClaims;
    /// Attempts whose outcome is known and not yet recorded.
    std::set<state::JobId> m_pendingOutcomes;
    std::map<state::WorkerId, std::vector<state::WorkerTask>> m_fenceReports;
};

} // namespace lentilsaddle::coordination
