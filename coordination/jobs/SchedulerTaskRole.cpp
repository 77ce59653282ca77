// Replay, election, hand-over and timers of SchedulerTask.
#include "coordination/jobs/SchedulerTask.h"

#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lentilsaddle::coordination {

using state::MonotonicTime;
using state::Record;

namespace {

    /// Keeps a deadline that cannot be served yet from turning into a loop.
    constexpr std::chrono::milliseconds minimumTimerDelay { 20 };
    constexpr std::chrono::milliseconds claimRetryDelay { 1'000 };

} // namespace

void SchedulerTask::handle(const SchedulerMessage::LogBatch& message)
{
    m_replay.accept(message.batch);
    if (m_replay.caughtUp())
        updateRole();
}

void SchedulerTask::recordRead(const Record& record)
{
    state::InstanceId scheduler = m_table.scheduler();
    std::uint64_t incarnation = m_table.schedulerIncarnation();
    bool applied = m_table.apply(record);
    ++m_recordsSinceSnapshot;
    if (applied && std::holds_alternative<Record::SchedulerClaim>(record.body)) {
        m_previousScheduler = scheduler;
        m_previousIncarnation = incarnation;
    }
    if (const auto* submitted = std::get_if<Record::JobSubmitted>(&record.body)) {
        const state::JobTable::Job* job = m_table.find(submitted->specification.id);
        if (applied && record.origin.instance == m_environment.instance)
            m_environment.recordEvent(job->specification.id.value(), "job.accepted", "");
        if (job)
            m_submissions.submissionRead(job->specification);
    } else if (const auto* cancelled = std::get_if<Record::JobCancelled>(&record.body)) {
        m_submissions.cancellationRead(cancelled->job);
    }
    m_scheduler->recordRead(record, applied);
}

void SchedulerTask::updateRole()
{
    std::uint64_t epoch = m_table.epoch();
    if (!m_reportedRole || m_reportedRole->epoch != epoch || m_reportedRole->scheduler != m_table.scheduler()) {
        m_reportedRole = { .epoch = epoch, .scheduler = m_table.scheduler() };
        m_hooks.onRoleChange(*m_reportedRole);
        m_claimRetryAt = now();
    }
    bool mine = m_table.isScheduler(m_environment.instance, m_environment.incarnation);
    if (mine && m_scheduler->epoch() != epoch && m_lostEpoch != epoch) {
        m_environment.recordEvent(m_environment.instance.value(), "scheduler.elected", std::to_string(epoch));
        m_environment.metrics->increment("lentilsaddle_scheduler_elections_total");
        transport::writeLog(transport::LogLevel::Info, "scheduler", "elected", { { "epoch", std::to_string(epoch) } });
        m_snapshotDue = true;
        m_scheduler->beginEpoch(epoch, m_previousScheduler, m_previousIncarnation);
    } else if (!mine && m_scheduler->active()) {
        transport::writeLog(transport::LogLevel::Info, "scheduler", "another epoch began",
            { { "epoch", std::to_string(epoch) }, { "scheduler", m_table.scheduler().value() } });
        m_scheduler->endEpoch();
    }
}

SchedulerElection::View SchedulerTask::electionView() const
{
    const state::InstanceId& scheduler = m_table.scheduler();
    bool listed = std::any_of(m_members.members.begin(), m_members.members.end(),
        [&scheduler](const state::InstanceInfo& member) { return member.name == scheduler; });
    bool mine = m_table.isScheduler(m_environment.instance, m_environment.incarnation);
    SchedulerElection::View view { .self = m_environment.instance,
        .dataCentre = m_environment.dataCentre,
        .members = {},
        .epoch = m_table.epoch(),
        // A scheduler of this name with another incarnation is this instance's predecessor, which has ended.
        .vacant = scheduler.empty() || (scheduler == m_environment.instance && !mine),
        .suspected = !mine && m_members.schedulerSuspected,
        .unlisted = !mine && !listed,
        .eligible = m_membersKnown && m_replay.caughtUp() && m_logReachable && !m_draining };
    for (const state::InstanceInfo& member : m_members.members) {
        bool live = member.state == state::InstanceInfo::State::Live;
        bool gone = (view.suspected || view.unlisted) && member.name == scheduler;
        if (live && !gone)
            view.members.push_back(member.name);
    }
    return view;
}

void SchedulerTask::elect(MonotonicTime now)
{
    m_claimAt.reset();
    if (m_schedulerClaimInFlight)
        return;
    m_claimAt = m_election.claimTime(electionView(), now);
    if (!m_claimAt)
        return;
    m_claimAt = std::max(*m_claimAt, m_claimRetryAt);
    if (now < *m_claimAt)
        return;
    m_claimAt.reset();
    appendSchedulerClaim(false);
}

void SchedulerTask::appendSchedulerClaim(bool vacant)
{
    m_schedulerClaimInFlight = true;
    append("role", Record::SchedulerClaim { .epoch = m_table.epoch() + 1, .vacant = vacant });
}

void SchedulerTask::schedulerClaimAppended()
{
    m_schedulerClaimInFlight = false;
    m_claimRetryAt = now() + claimRetryDelay;
}

void SchedulerTask::advanceDrain()
{
    if (!m_draining || m_onDrained.empty())
        return;
    bool mine = m_table.isScheduler(m_environment.instance, m_environment.incarnation) && m_scheduler->active();
    bool ending = m_scheduler->endInFlight() && now() < m_drainDeadline;
    if (mine && (m_scheduler->startInFlight() || ending))
        return;
    // Without the log the role cannot be handed over; the others take it over when heartbeats end.
    if (mine && m_logReachable) {
        if (!m_schedulerClaimInFlight && now() >= m_claimRetryAt)
            appendSchedulerClaim(true);
        return;
    }
    for (const auto& onDrained : std::exchange(m_onDrained, {}))
        onDrained();
}

std::optional<MonotonicTime> SchedulerTask::futureDrainDeadline(MonotonicTime step, MonotonicTime now) const
{
    return m_onDrained.empty() || step <= now ? std::nullopt : std::optional(step);
}

std::optional<MonotonicTime> SchedulerTask::nextSnapshot() const
{
    if (m_snapshotInFlight || !m_scheduler->active() || !m_logReachable || !m_replay.caughtUp())
        return std::nullopt;
    if (m_snapshotDue || m_recordsSinceSnapshot >= m_options.recordsPerSnapshot)
        return now();
    return m_lastSnapshot + m_options.maximumSnapshotAge;
}

void SchedulerTask::appendSnapshotIfDue()
{
    std::optional<MonotonicTime> due = nextSnapshot();
    if (!due || *due > now())
        return;
    m_snapshotDue = false;
    m_lastSnapshot = now();
    m_recordsSinceSnapshot = 0;
    m_snapshotInFlight = true;
    append("snapshot", m_table.snapshot(m_replay.nextOffset()));
}

void SchedulerTask::snapshotAppended(LogMessage::AppendStatus status)
{
    m_snapshotInFlight = false;
    if (status != LogMessage::AppendStatus::Appended)
        m_snapshotDue = true;
}

void SchedulerTask::scheduleUpdate()
{
    if (std::exchange(m_updateScheduled, true))
        return;
    loop().startTimer(std::chrono::microseconds(0), [this] {
        m_updateScheduled = false;
        update();
    });
}

void SchedulerTask::update()
{
    MonotonicTime time = now();
    if (std::exchange(m_leadershipLost, false)) {
        // The log that names the successor may be read later; until then this instance must not act.
        m_lostEpoch = m_scheduler->epoch();
        m_scheduler->endEpoch();
    }
    m_submissions.expire(time);
    m_scheduler->tick(time);
    // The election's view leaves out the suspected scheduler, which would otherwise own workers and renew nothing.
    const std::vector<state::InstanceId> members = electionView().members;
    bool guard = !m_scheduler->active() && !m_logReachable && m_members.schedulerSuspected && m_replay.complete();
    m_fallbackRenewer->tick(guard, m_logLostAt, members, time);
    elect(time);
    advanceDrain();
    appendSnapshotIfDue();
    armTimer();
}

void SchedulerTask::armTimer()
{
    MonotonicTime time = now();
    std::optional<MonotonicTime> next;
    for (const auto& candidate :
        { m_submissions.nextDeadline(), m_scheduler->nextTick(time), m_fallbackRenewer->nextTick(), m_claimAt,
            nextSnapshot(), futureDrainDeadline(m_claimRetryAt, time), futureDrainDeadline(m_drainDeadline, time) }) {
        if (candidate)
            next = next ? std::min(*next, *candidate) : candidate;
    }
    loop().cancelTimer(m_timer);
    m_timer = 0;
    if (!next)
        return;
    auto delay = std::max(*next - time, MonotonicTime::duration(minimumTimerDelay));
    m_timer = loop().startTimer(std::chrono::ceil<std::chrono::microseconds>(delay), [this] { update(); });
}

} // namespace lentilsaddle::coordination
