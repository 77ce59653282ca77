#include "coordination/jobs/GangScheduler.h"

#include "coordination/decisions/AttemptPolicy.h"
#include "coordination/decisions/FirstFitPlacement.h"
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
using Phase = GangCoordinator::Phase;

namespace {

    std::string attemptEndKey(const JobId& job)
    {
        return "attempt-end/" + job.value();
    }
    std::string jobEndKey(const JobId& job)
    {
        return "job-end/" + job.value();
    }

} // namespace

std::string GangScheduler::claimKey(const JobId& job)
{
    return "claim/" + job.value();
}

GangScheduler::GangScheduler(transport::HttpClient& http, const JobTable& table, const TaskEnvironment& environment,
    const SchedulerTaskOptions& options, Hooks hooks)
    : m_table(table)
    , m_environment(environment)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_client(http, options.workerTimeout)
    , m_directory(http, options.platformUrl, options.workerTimeout)
    , m_fleet(m_client, m_directory, m_placement,
          { .dataCentre = environment.dataCentre,
              .listInterval = options.workerListInterval,
              .fenceRetryInterval = options.fenceRetryInterval,
              .quarantine = { .duration = options.quarantineDuration } },
          fleetHooks())
    , m_runner(m_client, environment,
          { .gang = { .leaseTtl = options.leaseTtl,
                .leaseMargin = options.leaseMargin,
                .checkpointLimit = options.checkpointLimit },
              .renewInterval = options.renewInterval },
          runnerHooks())
    , m_outbox(m_hooks.append, environment.monotonicClock)
    , m_takeover(
          { .leaseTtl = options.leaseTtl, .margin = options.leaseMargin, .isolationLimit = options.isolationLimit })
{
}

WorkerFleet::Hooks GangScheduler::fleetHooks()
{
    return {
        .clock = m_environment.monotonicClock,
        .onListRead = [this] { m_planDue = true; },
        .onFenced =
            [this](const WorkerId& worker, const std::vector<state::WorkerTask>& tasks) {
                if (m_recovering) {
                    m_fenceReports[worker] = tasks;
                    return;
                }
                m_takeover.workerResponded(worker);
                m_runner.releaseOrphanedTasks(worker, tasks);
                m_planDue = true;
            },
        .onFenceRoundDone = [this] { recover(); },
        .onHigherEpoch = [this](std::uint64_t) { m_hooks.onLeadershipLost(); },
        .onResponse = [this] { m_hooks.onTickNeeded(); },
    };
}

GangRunner::Hooks GangScheduler::runnerHooks()
{
    return {
        .findWorker = [this](const WorkerId& worker) { return m_fleet.find(worker); },
        .onOutcomeReady = [this](const JobId& job) { m_pendingOutcomes.insert(job); },
        .onWorkersReleased =
            [this](const JobId& job) {
                abandonProbes(*m_runner.claim(job));
                m_placement.release(job);
                m_planDue = true;
            },
        .onEnded = [this](const JobId&) { m_planDue = true; },
        .onStartResult = [this](const WorkerId& worker, const JobId& job,
                             bool succeeded) { handleStartResult(worker, job, succeeded); },
        .onHigherEpoch = [this](std::uint64_t) { m_hooks.onLeadershipLost(); },
        .onResponse = [this] { m_hooks.onTickNeeded(); },
    };
}

void GangScheduler::beginEpoch(
    std::uint64_t epoch, const state::InstanceId& predecessor, std::uint64_t predecessorIncarnation)
{
    endEpoch();
    m_epoch = epoch;
    m_epochStart = m_environment.monotonicClock();
    m_predecessor = predecessor;
    m_predecessorIncarnation = predecessorIncarnation;
    m_sequence = 0;
    m_recovering = true;
    m_queuedAtClaim.clear();
    for (const JobTable::Job* job : m_table.openJobs()) {
        if (JobTable::startable(*job) && job->specification.repeatable)
            m_queuedAtClaim.insert(job->specification.id);
    }
    m_outbox.updateLastConfirmed(m_epochStart);
    m_runner.beginEpoch(epoch);
    m_fleet.beginEpoch(epoch);
}

void GangScheduler::endEpoch()
{
    m_epoch = 0;
    m_recovering = false;
    m_runner.endEpoch();
    m_fleet.endEpoch();
    m_outbox.clear();
    m_pendingClaims.clear();
    m_pendingOutcomes.clear();
    m_fenceReports.clear();
    std::vector<JobId> occupants;
    for (const auto& [job, occupant] : m_placement.allocations())
        occupants.push_back(job);
    for (const JobId& job : occupants)
        m_placement.release(job);
}

bool GangScheduler::isOwnRecord(const state::Origin& origin) const
{
    return origin.instance == m_environment.instance && origin.incarnation == m_environment.incarnation;
}

void GangScheduler::recordRead(const Record& record, bool applied)
{
    MonotonicTime now = m_environment.monotonicClock();
    if (const auto* submitted = std::get_if<Record::JobSubmitted>(&record.body)) {
        m_queue.track(submitted->specification.id, now);
        m_planDue = true;
    } else if (const auto* ended = std::get_if<Record::JobEnded>(&record.body)) {
        jobEndRead(*ended);
    } else if (const auto* cancelled = std::get_if<Record::JobCancelled>(&record.body)) {
        cancelRead(cancelled->job);
    }
    if (!active())
        return;
    if (record.origin.instance == m_predecessor && record.origin.incarnation != m_predecessorIncarnation)
        m_takeover.predecessorEnded(now);
    if (!isOwnRecord(record.origin))
        return;
    if (const auto* claim = std::get_if<Record::StartClaim>(&record.body))
        claimRead(*claim, applied);
    else if (const auto* attempt = std::get_if<Record::AttemptEnded>(&record.body))
        attemptEndRead(*attempt, applied);
}

void GangScheduler::claimRead(const Record::StartClaim& claim, bool applied)
{
    const JobTable::Job* job = m_table.find(claim.job);
    const Record::StartClaim* running = m_runner.claim(claim.job);
    auto claiming = m_pendingClaims.find(claim.job);
    if (claiming != m_pendingClaims.end() && claiming->second.token == claim.token) {
        m_outbox.remove(claimKey(claim.job));
        m_pendingClaims.erase(claiming);
        if (!applied) {
            m_placement.release(claim.job);
            return;
        }
        m_queue.recordStart(*job, m_table.openJobs());
        m_environment.recordEvent(claim.job.value(), "job.claimed", "attempt " + std::to_string(claim.attempt));
        m_environment.faultPoint("job.after_claim");
        m_runner.begin(job->specification, claim);
        return;
    }
    if (running && running->token == claim.token) {
        // The attempt began while the log was unavailable.
        m_outbox.remove(claimKey(claim.job));
        if (!applied && !(job && job->claim && job->claim->token == claim.token))
            m_runner.cancel(claim.job);
        return;
    }
    if (applied)
        m_outbox.enqueue(attemptEndKey(claim.job),
            Record::AttemptEnded { .job = claim.job,
                .attempt = claim.attempt,
                .outcome = "released",
                .reason = "the claim was given up",
                .failedWorkers = {} });
}

void GangScheduler::attemptEndRead(const Record::AttemptEnded& ended, bool applied)
{
    const Record::StartClaim* running = m_runner.claim(ended.job);
    if (applied || (running && running->attempt == ended.attempt))
        m_outbox.remove(attemptEndKey(ended.job));
    if (running && running->attempt == ended.attempt)
        m_runner.endRecorded(ended.job);
    const JobTable::Job* job = m_table.find(ended.job);
    if (applied && job && !m_recovering)
        retryOrEnd(*job);
    m_planDue = true;
}

void GangScheduler::cancelRead(const JobId& job)
{
    dropClaim(job);
    m_runner.cancel(job);
    const JobTable::Job* entry = m_table.find(job);
    if (entry && state::isFinal(entry->state))
        m_queue.forget(job);
}

void GangScheduler::jobEndRead(const Record::JobEnded& ended)
{
    const JobTable::Job* job = m_table.find(ended.job);
    if (!job || !state::isFinal(job->state))
        return;
    m_queue.forget(ended.job);
    if (!m_outbox.contains(jobEndKey(ended.job)))
        return;
    m_outbox.remove(jobEndKey(ended.job));
    m_environment.recordEvent(ended.job.value(), "job.ended", ended.outcome + " " + ended.reason);
    m_environment.metrics->increment("lentilsaddle_jobs_ended_total", { { "outcome", ended.outcome } });
}

void GangScheduler::appended(const std::string& key, LogMessage::AppendStatus status)
{
    m_outbox.setResult(key, status);
    if (status != LogMessage::AppendStatus::NotAppended)
        return;
    // The claim is certainly not in the log: begin without it or give it up, so that it holds no space.
    std::vector<JobId> failed;
    for (const auto& [job, claim] : m_pendingClaims) {
        if (claimKey(job) == key)
            failed.push_back(job);
    }
    for (const JobId& job : failed) {
        const JobTable::Job* entry = m_table.find(job);
        if (!m_logReachable && entry && mayStartWithoutLog(entry->specification)) {
            Record::StartClaim claim = m_pendingClaims.at(job);
            m_pendingClaims.erase(job);
            m_runner.begin(entry->specification, claim);
        } else {
            dropClaim(job);
            m_queue.delayUntil(job, m_environment.monotonicClock() + m_options.workerTimeout);
        }
    }
}

void GangScheduler::setLogReachable(bool reachable)
{
    m_logReachable = reachable;
    m_planDue = true;
    if (reachable)
        m_outbox.retryNow();
}

void GangScheduler::configure(const state::Configuration& configuration)
{
    m_placement.setGuarantees(configuration, m_environment.dataCentre);
    auto profile = configuration.dataCentres.find(m_environment.dataCentre);
    if (m_hooks.policyFactory && profile != configuration.dataCentres.end())
        m_hooks.placementPolicy = m_hooks.policyFactory(profile->second);
    m_planDue = true;
}

void GangScheduler::recordOutcomes()
{
    std::set<JobId> outcomes = std::exchange(m_pendingOutcomes, {});
    for (const JobId& id : outcomes) {
        const GangCoordinator* gang = m_runner.find(id);
        if (!gang || !active())
            continue;
        if (m_outbox.contains(claimKey(id))) {
            // The end of an attempt counts only after its claim.
            m_pendingOutcomes.insert(id);
            continue;
        }
        const Record::StartClaim claim = *m_runner.claim(id);
        const JobTable::Job* job = m_table.find(id);
        if (!job || !job->claim || job->claim->token != claim.token) {
            m_runner.endRecorded(id);
            continue;
        }
        m_environment.faultPoint("job.before_end");
        const GangOutcome& outcome = gang->outcome();
        m_outbox.enqueue(attemptEndKey(id),
            Record::AttemptEnded { .job = id,
                .attempt = claim.attempt,
                .outcome = outcome.outcome,
                .reason = outcome.reason,
                .failedWorkers = { outcome.failedWorkers.begin(), outcome.failedWorkers.end() } });
    }
}

void GangScheduler::retryOrEnd(const JobTable::Job& job)
{
    if (state::isFinal(job.state) || job.claim)
        return;
    const JobId id = job.specification.id;
    AttemptDecision decision = decideNextAttempt(job);
    if (decision.action == AttemptDecision::Action::End) {
        m_outbox.enqueue(
            jobEndKey(id), Record::JobEnded { .job = id, .outcome = decision.outcome, .reason = decision.reason });
        return;
    }
    if (decision.delay.count() > 0)
        m_queue.delayUntil(id, m_environment.monotonicClock() + decision.delay);
    m_planDue = true;
}

void GangScheduler::handleStartResult(const WorkerId& worker, const JobId& job, bool succeeded)
{
    WorkerQuarantine& quarantine = m_fleet.quarantine();
    MonotonicTime now = m_environment.monotonicClock();
    if (succeeded) {
        quarantine.startSucceeded(worker);
    } else if (quarantine.startFailed(worker, job, now)) {
        m_environment.recordEvent(job.value(), "worker.quarantined", worker.value());
        m_environment.metrics->increment("lentilsaddle_workers_quarantined_total");
    }
    m_fleet.updateAvailability(now);
}

std::optional<std::string> GangScheduler::attemptState(const JobId& job) const
{
    if (m_pendingClaims.contains(job))
        return "claimed";
    const GangCoordinator* gang = m_runner.find(job);
    if (!gang)
        return std::nullopt;
    switch (gang->phase()) {
    case Phase::Reserving:
        return "reserving";
    case Phase::Starting:
        return "starting";
    case Phase::Running:
        return "running";
    default:
        return "stopping";
    }
}

} // namespace lentilsaddle::coordination
