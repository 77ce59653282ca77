/// @file
/// Task that tracks the jobs of its data centre and schedules them while its instance is the scheduler.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/decisions/SchedulerElection.h"
#include "coordination/jobs/FallbackLeaseRenewer.h"
#include "coordination/jobs/GangScheduler.h"
#include "coordination/jobs/SchedulerMessage.h"
#include "coordination/jobs/SchedulerTaskHooks.h"
#include "coordination/jobs/SchedulerTaskOptions.h"
#include "coordination/jobs/SubmissionTracker.h"
#include "state/JobTable.h"
#include "state/StreamReplay.h"
#include "transport/HttpClient.h"
#include "transport/Task.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Replays the log stream `jobs.<data centre>`, serves submissions, cancellations and queries, takes part in the
/// election and, as the elected scheduler, runs a GangScheduler.
class SchedulerTask : public transport::Task<SchedulerMessage> {
public:
    SchedulerTask(TaskEnvironment environment, SchedulerTaskOptions options, SchedulerTaskHooks hooks);
    ~SchedulerTask() override;

protected:
    void onStart() override;
    void onStop() override;
    void onMessage(SchedulerMessage message) override;

private:
    void handle(SchedulerMessage::Submit message);
    void handle(const SchedulerMessage::Query& message);
    void handle(SchedulerMessage::Cancel message);
    void handle(const SchedulerMessage::Status& message);
    void handle(const SchedulerMessage::Configure& message);
    void handle(SchedulerMessage::Members message);
    void handle(const SchedulerMessage::LogBatch& message);
    void handle(const SchedulerMessage::LogReachability& message);
    void handle(SchedulerMessage::Drain message);
    void handle(const SchedulerMessage::Appended& message);

    state::StreamReplay::Hooks replayHooks();
    void recordRead(const state::Record& record);
    void updateRole();
    /// Schedules a call of update() on the event loop, one for all responses that arrive together.
    void scheduleUpdate();
    /// Runs all due actions and arms the timer for the next one. Called after each message, response and timer.
    void update();
    void armTimer();
    void append(const std::string& key, const state::Record::Body& body);
    std::optional<SchedulerMessage::JobResponse> checkSubmission(const state::JobSpecification& specification) const;
    /// @return the response to the cancellation of a job that the table does not hold.
    SchedulerMessage::JobResponse cancellationOfAbsentJob(const state::JobId& id) const;
    SchedulerElection::View electionView() const;
    void elect(state::MonotonicTime now);
    void appendSchedulerClaim(bool vacant);
    void schedulerClaimAppended();
    void advanceDrain();
    /// @return the deadline if a drain waits for it and it has not passed yet, else empty.
    std::optional<state::MonotonicTime> futureDrainDeadline(
        state::MonotonicTime deadline, state::MonotonicTime now) const;
    void appendSnapshotIfDue();
    void snapshotAppended(LogMessage::AppendStatus status);
    /// @return when the next snapshot is due; empty while none can be appended.
    std::optional<state::MonotonicTime> nextSnapshot() const;
    state::MonotonicTime now() const { return m_environment.monotonicClock(); }

    TaskEnvironment m_environment;
    SchedulerTaskOptions m_options;
    SchedulerTaskHooks m_hooks;
    std::string m_stream;

    state::JobTable m_table;
    state::StreamReplay m_replay;
    SubmissionTracker m_submissions;
    SchedulerElection m_election;
    std::shared_ptr<const state::Configuration> m_configuration;
    SchedulerMessage::Members m_members;
    bool m_membersKnown = false;
    bool m_logReachable = false;
    state::MonotonicTime m_logLostAt;

    /// Last role passed to the onRoleChange hook.
    std::optional<PeerMessage::SchedulerRole> m_reportedRole;
    state::InstanceId m_previousScheduler;
    std::uint64_t m_previousIncarnation = 0;
    bool m_schedulerClaimInFlight = false;
    /// Earliest time of the next SchedulerClaim, since the previous one may not have been read back yet.
    state::MonotonicTime m_claimRetryAt;
    /// Epoch of this instance that a worker reported as superseded before the new epoch was read from the log.
    std::uint64_t m_lostEpoch = 0;
    bool m_leadershipLost = false;
    bool m_updateScheduled = false;
    std::optional<state::MonotonicTime> m_claimAt;

    bool m_draining = false;
    state::MonotonicTime m_drainDeadline;
    std::vector<std::function<void()>> m_onDrained;

    int m_recordsSinceSnapshot = 0;
    bool m_snapshotDue = false;
    state::MonotonicTime m_lastSnapshot;
    bool m_snapshotInFlight = false;

    std::unique_ptr<transport::HttpClient> m_http;
    std::unique_ptr<GangScheduler> m_scheduler;
    std::unique_ptr<FallbackLeaseRenewer> m_fallbackRenewer;
    transport::EventLoop::TimerId m_timer = 0;
};

} // namespace lentilsaddle::coordination
