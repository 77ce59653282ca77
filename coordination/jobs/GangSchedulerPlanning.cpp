// Planning and recovery of GangScheduler.
#include "coordination/jobs/GangScheduler.h"

#include "coordination/decisions/AttemptPolicy.h"
#include "coordination/decisions/FirstFitPlacement.h"
#include "coordination/decisions/PlacementPlan.h"
#include "state/StateError.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using state::JobId;
using state::JobTable;
using state::MonotonicTime;
using state::Record;
using state::WorkerId;

namespace {

    /// A worker holds one lease per attempt, so the tasks of a gang on the same worker share a placement.
    std::vector<state::TaskPlacement> mergeByWorker(const std::vector<state::TaskPlacement>& placements)
    {
        std::map<WorkerId, std::vector<int>> merged;
        for (const state::TaskPlacement& placement : placements) {
            std::vector<int>& accelerators = merged[placement.worker];
            accelerators.insert(accelerators.end(), placement.accelerators.begin(), placement.accelerators.end());
        }
        std::vector<state::TaskPlacement> result;
        for (auto& [worker, accelerators] : merged) {
            std::sort(accelerators.begin(), accelerators.end());
            result.push_back({ .worker = worker, .accelerators = std::move(accelerators) });
        }
        return result;
    }

    // The declared run time is an estimate. After a failover it is counted from the recovery, because no start time is
    // recorded.
    state::PlacementState::AllocationOptions allocationOptions(
        const state::JobSpecification& job, const Record::StartClaim& claim, MonotonicTime now)
    {
        return { .withinGuarantee = claim.withinGuarantee, .expectedEnd = now + job.declaredRunTime };
    }

} // namespace

void GangScheduler::recover()
{
    if (!m_recovering)
        return;
    m_recovering = false;
    std::set<WorkerId> unresponsive = m_fleet.unresponsive();
    std::set<JobId> queued;
    for (const JobTable::Job* job : m_table.openJobs()) {
        if (m_queuedAtClaim.contains(job->specification.id) && mayFitOnUnresponsive(*job, unresponsive))
            queued.insert(job->specification.id);
    }
    m_failoverPolicy.begin({ .claimRead = m_epochStart,
        .predecessorInactive = m_predecessor.empty() || m_predecessor == m_environment.instance,
        .queued = std::move(queued),
        .unresponsive = std::move(unresponsive) });
    for (const JobTable::Job* job : m_table.openJobs()) {
        if (job->claim)
            recoverJob(*job);
        else
            retryOrEnd(*job);
    }
    for (const auto& [worker, tasks] : m_fenceReports)
        m_runner.releaseOrphanedTasks(worker, tasks);
    m_fenceReports.clear();
    m_planDue = true;
}

bool GangScheduler::mayFitOnUnresponsive(const JobTable::Job& job, const std::set<WorkerId>& unresponsive) const
{
    std::set<WorkerId> responsive;
    for (const auto& [id, slots] : m_placement.workers()) {
        if (!unresponsive.contains(id))
            responsive.insert(id);
    }
    const state::GangShape& shape = job.specification.shape;
    return largestGang(m_placement, shape, responsive) >= shape.accelerators();
}

void GangScheduler::recoverJob(const JobTable::Job& job)
{
    const Record::StartClaim claim = *job.claim;
    GangCoordinator::RecoveryReports reports;
    for (const state::TaskPlacement& placement : claim.placements) {
        auto report = m_fenceReports.find(placement.worker);
        if (report == m_fenceReports.end())
            continue;
        auto task = std::find_if(report->second.begin(), report->second.end(), [&](const state::WorkerTask& entry) {
            return entry.job == claim.job && entry.attempt == claim.attempt && entry.token == claim.token;
        });
        reports[placement.worker] = task == report->second.end() ? std::nullopt : std::optional(task->state);
    }
    try {
        m_placement.allocate(claim.job, job.specification.account, claim.placements,
            allocationOptions(job.specification, claim, m_environment.monotonicClock()));
    } catch (const state::StateError& error) {
        transport::writeLog(transport::LogLevel::Warning, "scheduler",
            "cannot allocate the accelerators of a claimed attempt",
            { { "job", claim.job.value() }, { "error", error.what() } });
    }
    const JobTable::Job copy = job;
    m_runner.recover(copy.specification, claim, reports, m_failoverPolicy.orphanedTasksEndBy());
    if (copy.cancelRequested)
        m_runner.cancel(claim.job);
}

void GangScheduler::tick(MonotonicTime now)
{
    m_fleet.tick(now);
    m_fleet.updateAvailability(now);
    if (!active())
        return;
    m_runner.tick(now);
    recordOutcomes();
    if (m_logReachable)
        m_outbox.resendDue(now);
    auto eligibleAt = m_queue.nextEligibleTime(m_plannedAt);
    auto change = m_fleet.quarantine().nextChange(m_plannedAt);
    MonotonicTime orphanedTasksEndBy = m_failoverPolicy.orphanedTasksEndBy();
    bool due = (eligibleAt && *eligibleAt <= now) || (change && *change <= now)
        || (orphanedTasksEndBy > m_plannedAt && orphanedTasksEndBy <= now);
    if (m_planDue || due)
        plan(now);
}

std::optional<MonotonicTime> GangScheduler::nextTick(MonotonicTime now) const
{
    std::optional<MonotonicTime> next;
    auto consider = [&next](std::optional<MonotonicTime> time) {
        if (time)
            next = next ? std::min(*next, *time) : *time;
    };
    consider(m_fleet.nextTick(now));
    if (!active())
        return next;
    consider(m_runner.nextTick());
    consider(m_queue.nextEligibleTime(now));
    if (m_logReachable)
        consider(m_outbox.nextRetry());
    if (m_failoverPolicy.orphanedTasksEndBy() > now)
        consider(m_failoverPolicy.orphanedTasksEndBy());
    return next;
}

bool GangScheduler::mayStartWithoutLog(const state::JobSpecification& job) const
{
    return m_failoverPolicy.mayStartWithoutLog(job, m_outbox.lastConfirmed(), m_environment.monotonicClock());
}

bool GangScheduler::isEligible(const JobTable::Job& job, MonotonicTime now) const
{
    const JobId& id = job.specification.id;
    if (m_pendingClaims.contains(id) || m_runner.find(id))
        return false;
    if (decideNextAttempt(job).action != AttemptDecision::Action::Queue || m_failoverPolicy.blockedUntil(id, now))
        return false;
    return m_logReachable || mayStartWithoutLog(job.specification);
}

std::vector<QueuedJob> GangScheduler::eligibleJobs(MonotonicTime now)
{
    std::vector<QueuedJob> queue = m_queue.build(
        m_table.openJobs(), [this, now](const JobTable::Job& job) { return isEligible(job, now); }, now);
    for (QueuedJob& job : queue) {
        const state::GangShape& shape = job.specification.shape;
        // In a small data centre the job may not fit without the workers on which it failed.
        if (!job.avoidedWorkers.empty() && largestGang(m_placement, shape, job.avoidedWorkers) < shape.accelerators())
            job.avoidedWorkers.clear();
    }
    return queue;
}

void GangScheduler::plan(MonotonicTime now)
{
    m_planDue = false;
    m_plannedAt = now;
    if (m_recovering || !m_startsEnabled || !m_fleet.listKnown())
        return;
    std::vector<QueuedJob> queue = eligibleJobs(now);
    PlacementPlan plan = m_hooks.placementPolicy(m_placement, queue, now);
    for (const JobId& victim : plan.preemptions)
        preempt(victim);
    for (const PlacementPlan::Start& start : plan.starts)
        claimStart(start);
    planProbes(queue, now);
    publishMetrics();
}

void GangScheduler::planProbes(const std::vector<QueuedJob>& queue, MonotonicTime now)
{
    for (const WorkerId& worker : m_fleet.probeCandidates(now)) {
        state::PlacementState workerOnly = m_placement;
        for (const auto& [id, slots] : m_placement.workers())
            workerOnly.setAvailable(id, id == worker);
        std::vector<QueuedJob> singleTaskJobs;
        for (const QueuedJob& job : queue) {
            if (job.specification.shape.tasks == 1 && !m_pendingClaims.contains(job.specification.id))
                singleTaskJobs.push_back(job);
        }
        PlacementPlan plan = firstFitPlacement(workerOnly, singleTaskJobs, now);
        if (plan.starts.empty())
            continue;
        const PlacementPlan::Start& probe = plan.starts.front();
        m_fleet.quarantine().probeStarted(worker, probe.job);
        if (!claimStart(probe))
            m_fleet.quarantine().probeAbandoned(worker, probe.job);
    }
}

bool GangScheduler::claimStart(const PlacementPlan::Start& start)
{
    const JobId& id = start.job;
    const JobTable::Job* job = m_table.find(id);
    if (!job || m_pendingClaims.contains(id) || m_runner.find(id))
        return false;
    Record::StartClaim claim { .job = id,
        .attempt = job->attempts + 1,
        .token = { .epoch = m_epoch, .sequence = ++m_sequence },
        .placements = mergeByWorker(start.placements),
        .withinGuarantee = start.withinGuarantee };
    try {
        m_placement.allocate(id, job->specification.account, claim.placements,
            allocationOptions(job->specification, claim, m_environment.monotonicClock()));
    } catch (const state::StateError& error) {
        transport::writeLog(transport::LogLevel::Error, "scheduler",
            "the placement policy chose allocated accelerators", { { "job", id.value() }, { "error", error.what() } });
        return false;
    }
    m_environment.faultPoint("job.before_claim");
    m_outbox.enqueue(claimKey(id), claim);
    if (m_logReachable)
        m_pendingClaims[id] = claim;
    else
        m_runner.begin(job->specification, claim);
    return true;
}

void GangScheduler::dropClaim(const JobId& job)
{
    auto found = m_pendingClaims.find(job);
    if (found == m_pendingClaims.end())
        return;
    abandonProbes(found->second);
    m_pendingClaims.erase(found);
    m_outbox.remove(claimKey(job));
    m_placement.release(job);
    m_planDue = true;
}

void GangScheduler::abandonProbes(const Record::StartClaim& claim)
{
    for (const state::TaskPlacement& placement : claim.placements)
        m_fleet.quarantine().probeAbandoned(placement.worker, claim.job);
}

void GangScheduler::preempt(const JobId& job)
{
    const GangCoordinator* gang = m_runner.find(job);
    if (!gang || gang->phase() != GangCoordinator::Phase::Running)
        return;
    m_environment.recordEvent(job.value(), "job.preempted", "");
    m_environment.metrics->increment("lentilsaddle_jobs_preempted_total");
    m_placement.markStopping(job);
    m_runner.preempt(job);
}

void GangScheduler::publishMetrics() const
{
    m_environment.metrics->setGauge("lentilsaddle_accelerators", m_placement.accelerators());
    m_environment.metrics->setGauge("lentilsaddle_accelerators_free", m_placement.freeAccelerators());
    m_environment.metrics->setGauge("lentilsaddle_jobs_running", static_cast<double>(m_runner.runningGangs()));
}

} // namespace lentilsaddle::coordination
