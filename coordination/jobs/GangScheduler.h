/// @file
/// What the elected scheduler does.
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

/// Starts, watches and ends the gangs of one data centre while its instance is the scheduler.
///
/// Belongs to the scheduler task's thread. The job table stays the task's own; what the log decides reaches this object
/// through recordRead().
class GangScheduler {
public:
    struct Hooks {
        PlacementPolicy placementPolicy;
        /// Replaces the policy when the configuration changes. May be empty.
        std::function<PlacementPolicy(const state::DataCentreProfile&)> policyFactory;
        /// Appends a record; the result returns through appended().
        RecordOutbox::Append append;
        /// A worker has seen a higher epoch, so this instance is no longer the scheduler.
        std::function<void()> onLeadershipLost;
        /// An answer changed the state, so tick() is to be called.
        std::function<void()> onTickNeeded;
    };

    /// @param http, table and environment outlive this object.
    GangScheduler(transport::HttpClient& http, const state::JobTable& table, const TaskEnvironment& environment,
        const SchedulerTaskOptions& options, Hooks hooks);

    /// The log gave the role to this instance.
    /// @param predecessor scheduler of the epoch before; empty if there was none or it gave up the role.
    void beginEpoch(std::uint64_t epoch, const state::InstanceId& predecessor, std::uint64_t predecessorIncarnation);
    void endEpoch();
    bool active() const { return m_epoch != 0; }
    /// @return epoch that this instance schedules in; 0 if it does not.
    std::uint64_t epoch() const { return m_epoch; }

    /// A record was read and applied to the table.
    /// @param applied whether it changed the table.
    void recordRead(const state::Record& record, bool applied);
    /// Notes the result of an append under one of this object's keys.
    void appended(const std::string& key, LogMessage::AppendStatus status);
    void setLogReachable(bool reachable);
    void configure(const state::Configuration& configuration);

    /// Starts nothing more, so that the role can be handed over.
    void stopStarting() { m_startsEnabled = false; }
    /// @return whether a start is under way, so that the role must not be handed over.
    bool startInFlight() const { return !m_pendingClaims.empty() || m_runner.startInFlight(); }
    /// @return whether an end is under way whose outcome the successor would know less exactly.
    bool endInFlight() const { return m_runner.endInFlight() || (m_logReachable && !m_outbox.empty()); }

    /// Does what is due and plans if something changed.
    void tick(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextTick(state::MonotonicTime now) const;

    /// @return the state of a running attempt as told to callers, or nothing if there is none.
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
    bool mayFitOnUnresponsive(const state::JobTable::Job& job, const std::set<state::WorkerId>& silent) const;
    void retryOrEnd(const state::JobTable::Job& job);
    void recordOutcomes();

    void plan(state::MonotonicTime now);
    void planProbes(const std::vector<QueuedJob>& queue, state::MonotonicTime now);
    std::vector<QueuedJob> eligibleJobs(state::MonotonicTime now);
    bool isEligible(const state::JobTable::Job& job, state::MonotonicTime now) const;
    void claimStart(const PlacementPlan::Start& start);
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
    FailoverPolicy m_takeover;

    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    bool m_recovering = false;
    bool m_startsEnabled = true;
    bool m_planDue = false;
    bool m_logReachable = true;
    state::MonotonicTime m_epochStart;
    state::MonotonicTime m_plannedAt;
    /// Repeatable jobs that were queued when the claim of this epoch was read. An earlier scheduler cannot have seen a
    /// later one without seeing the claim first.
    std::set<state::JobId> m_queuedAtClaim;
    state::InstanceId m_predecessor;
    std::uint64_t m_predecessorIncarnation = 0;
    /// Claims that were appended and not yet read back.
    std::map<state::JobId, state::Record::StartClaim> m_pendingClaims;
    /// Attempts whose coordinator wants its outcome recorded.
    std::set<state::JobId> m_pendingOutcomes;
    std::map<state::WorkerId, std::vector<state::WorkerTask>> m_fenceReports;
};

} // namespace lentilsaddle::coordination
