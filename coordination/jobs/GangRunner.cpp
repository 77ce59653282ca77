#include "coordination/jobs/GangRunner.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using protocol::WorkerLease;
using protocol::WorkerResponse;
using state::MonotonicTime;
using state::WorkerId;
using state::WorkerTask;
using CallResult = GangCoordinator::CallResult;
using Phase = GangCoordinator::Phase;

namespace {

    CallResult toCallResult(const WorkerResponse& response)
    {
        switch (response.status) {
        case WorkerResponse::Status::Ok:
            return CallResult::Ok;
        case WorkerResponse::Status::Unknown:
            return CallResult::Unknown;
        default:
            return CallResult::Refused;
        }
    }

    std::vector<WorkerId> workersOf(const state::Record::StartClaim& claim)
    {
        std::vector<WorkerId> workers;
        for (const state::TaskPlacement& placement : claim.placements)
            workers.push_back(placement.worker);
        return workers;
    }

} // namespace

GangRunner::GangRunner(protocol::WorkerClient& client, const TaskEnvironment& environment, Options options, Hooks hooks)
    : m_client(client)
    , m_environment(environment)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

void GangRunner::beginEpoch(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_gangs.clear();
}

void GangRunner::endEpoch()
{
    m_epoch = 0;
    m_gangs.clear();
}

GangRunner::Gang& GangRunner::add(const state::JobSpecification& job, const state::Record::StartClaim& claim)
{
    GangCoordinator::Options options = m_options.gang;
    options.repeatable = job.repeatable;
    auto [entry, added] = m_gangs.insert_or_assign(
        job.id, Gang { .job = job, .claim = claim, .coordinator = GangCoordinator(options, workersOf(claim)) });
    return entry->second;
}

GangRunner::AttemptKey GangRunner::attemptKey(const Gang& gang) const
{
    return { .job = gang.job.id, .attempt = gang.claim.attempt, .epoch = m_epoch };
}

void GangRunner::begin(const state::JobSpecification& job, const state::Record::StartClaim& claim)
{
    applyEvent(attemptKey(add(job, claim)), [](GangCoordinator& gang) { return gang.begin(); });
}

void GangRunner::recover(const state::JobSpecification& job, const state::Record::StartClaim& claim,
    const GangCoordinator::RecoveryReports& reports, MonotonicTime orphanedTasksEndBy)
{
    Gang& gang = add(job, claim);
    // Adopted leases may be close to their expiry.
    m_nextRenewal = m_environment.monotonicClock();
    applyEvent(attemptKey(gang), [&](GangCoordinator& coordinator) {
        return coordinator.recover(reports, orphanedTasksEndBy, m_environment.monotonicClock());
    });
}

void GangRunner::cancel(const state::JobId& job)
{
    if (auto found = m_gangs.find(job); found != m_gangs.end())
        applyEvent(attemptKey(found->second),
            [this](GangCoordinator& gang) { return gang.cancel(m_environment.monotonicClock()); });
}

void GangRunner::preempt(const state::JobId& job)
{
    if (auto found = m_gangs.find(job); found != m_gangs.end())
        applyEvent(attemptKey(found->second),
            [this](GangCoordinator& gang) { return gang.preempt(m_environment.monotonicClock()); });
}

void GangRunner::endRecorded(const state::JobId& job)
{
    if (auto found = m_gangs.find(job); found != m_gangs.end())
        applyEvent(attemptKey(found->second), [](GangCoordinator& gang) { return gang.endRecorded(); });
}

void GangRunner::applyEvent(const AttemptKey& key, const Event& event)
{
    auto found = m_gangs.find(key.job);
    if (key.epoch != m_epoch || found == m_gangs.end() || found->second.claim.attempt != key.attempt)
        return;
    execute(found->second, event(found->second.coordinator));
    reportPhase(found->second);
}

void GangRunner::applyCallResult(const AttemptKey& key, const WorkerResponse& response,
    const std::function<GangCoordinator::Commands(GangCoordinator&, CallResult)>& event)
{
    if (key.epoch != m_epoch)
        return;
    m_hooks.onResponse();
    if (response.status == WorkerResponse::Status::Fenced) {
        m_hooks.onHigherEpoch(response.epoch);
        return;
    }
    applyEvent(key, [&](GangCoordinator& gang) { return event(gang, toCallResult(response)); });
}

void GangRunner::execute(Gang& gang, const GangCoordinator::Commands& commands)
{
    bool first = true;
    for (const GangCommand& command : commands) {
        if (command.kind == GangCommand::Kind::RecordEnd) {
            m_hooks.onOutcomeReady(gang.job.id);
            continue;
        }
        const state::Worker* worker = m_hooks.findWorker(command.worker);
        // A worker that is no longer in the platform's list has no known address; a call to the placeholder fails.
        state::Worker unlisted { .id = command.worker, .address = "0.0.0.0:0" };
        const state::Worker& target = worker ? *worker : unlisted;
        switch (command.kind) {
        case GangCommand::Kind::Lease:
            if (!first)
                m_environment.faultPoint("job.between_leases");
            sendLease(gang, target);
            break;
        case GangCommand::Kind::Start:
            m_environment.faultPoint(first ? "job.before_start" : "job.between_starts");
            sendStart(gang, target);
            break;
        case GangCommand::Kind::Checkpoint:
            sendCheckpoint(gang, target);
            break;
        default:
            sendRelease(gang, target);
            break;
        }
        first = false;
    }
}

WorkerLease GangRunner::workerLease(const Gang& gang) const
{
    return { .job = gang.job.id,
        .attempt = gang.claim.attempt,
        .token = { .epoch = m_epoch, .sequence = gang.claim.token.sequence } };
}

void GangRunner::sendLease(Gang& gang, const state::Worker& worker)
{
    auto placement = std::find_if(gang.claim.placements.begin(), gang.claim.placements.end(),
        [&worker](const state::TaskPlacement& entry) { return entry.worker == worker.id; });
    MonotonicTime sentAt = m_environment.monotonicClock();
    m_client.lease(worker, workerLease(gang), placement->accelerators, m_options.gang.leaseTtl,
        [this, key = attemptKey(gang), id = worker.id, sentAt](const WorkerResponse& response) {
            applyCallResult(key, response, [&](GangCoordinator& coordinator, CallResult result) {
                return coordinator.handleLeaseResult(id, result, sentAt, m_environment.monotonicClock());
            });
        });
}

void GangRunner::sendStart(Gang& gang, const state::Worker& worker)
{
    MonotonicTime now = m_environment.monotonicClock();
    if (!gang.coordinator.mayStart(now)) {
        execute(gang, gang.coordinator.startSkipped(now));
        return;
    }
    gang.coordinator.startSent(worker.id);
    m_client.start(worker, workerLease(gang), gang.job.payload,
        [this, key = attemptKey(gang), id = worker.id](const WorkerResponse& response) {
            bool failed
                = response.status != WorkerResponse::Status::Ok && response.status != WorkerResponse::Status::Fenced;
            if (failed && key.epoch == m_epoch)
                m_hooks.onStartResult(id, key.job, false);
            applyCallResult(key, response, [&](GangCoordinator& coordinator, CallResult result) {
                return coordinator.handleStartResult(id, result, m_environment.monotonicClock());
            });
        });
}

void GangRunner::sendCheckpoint(Gang& gang, const state::Worker& worker)
{
    m_client.checkpoint(worker, workerLease(gang), m_options.gang.checkpointLimit,
        [this, key = attemptKey(gang), id = worker.id](const WorkerResponse& response) {
            applyCallResult(key, response, [&](GangCoordinator& coordinator, CallResult result) {
                return coordinator.handleCheckpointResult(id, result, m_environment.monotonicClock());
            });
        });
}

void GangRunner::sendRelease(Gang& gang, const state::Worker& worker)
{
    m_client.release(
        worker, workerLease(gang), [this, key = attemptKey(gang), id = worker.id](const WorkerResponse& response) {
            applyCallResult(key, response, [&](GangCoordinator& coordinator, CallResult result) {
                bool released = response.status == WorkerResponse::Status::NoLease;
                return coordinator.handleReleaseResult(
                    id, released ? CallResult::Ok : result, m_environment.monotonicClock());
            });
        });
}

void GangRunner::reportPhase(Gang& gang)
{
    Phase phase = gang.coordinator.phase();
    state::JobId job = gang.job.id;
    if (phase == Phase::Starting && !gang.reportedLeased) {
        gang.reportedLeased = true;
        recordGangEvent(gang, "job.leased", "");
    }
    if (phase == Phase::Running && !gang.reportedRunning) {
        gang.reportedRunning = true;
        m_environment.faultPoint("job.after_start");
        recordGangEvent(gang, "job.started", "attempt " + std::to_string(gang.claim.attempt));
    }
    if ((phase == Phase::Released || phase == Phase::Ended) && !gang.reportedReleased) {
        gang.reportedReleased = true;
        m_hooks.onWorkersReleased(job);
    }
    if (phase != Phase::Ended)
        return;
    m_gangs.erase(job);
    m_hooks.onEnded(job);
}

void GangRunner::tick(MonotonicTime now)
{
    std::vector<AttemptKey> keys;
    for (const auto& [job, gang] : m_gangs) {
        auto next = gang.coordinator.nextTick();
        if (next && *next <= now)
            keys.push_back(attemptKey(gang));
    }
    for (const AttemptKey& key : keys)
        applyEvent(key, [now](GangCoordinator& gang) { return gang.tick(now); });
    if (m_epoch == 0 || m_gangs.empty() || now < m_nextRenewal)
        return;
    m_nextRenewal = now + m_options.renewInterval;
    renewAll();
}

std::optional<MonotonicTime> GangRunner::nextTick() const
{
    if (m_epoch == 0 || m_gangs.empty())
        return std::nullopt;
    MonotonicTime next = m_nextRenewal;
    for (const auto& [job, gang] : m_gangs) {
        if (auto time = gang.coordinator.nextTick())
            next = std::min(next, *time);
    }
    return next;
}

const GangCoordinator* GangRunner::find(const state::JobId& job) const
{
    auto found = m_gangs.find(job);
    return found == m_gangs.end() ? nullptr : &found->second.coordinator;
}

const state::Record::StartClaim* GangRunner::claim(const state::JobId& job) const
{
    auto found = m_gangs.find(job);
    return found == m_gangs.end() ? nullptr : &found->second.claim;
}

bool GangRunner::startInFlight() const
{
    return std::any_of(m_gangs.begin(), m_gangs.end(), [](const auto& entry) {
        Phase phase = entry.second.coordinator.phase();
        return phase == Phase::Reserving || phase == Phase::Starting;
    });
}

bool GangRunner::endInFlight() const
{
    return std::any_of(m_gangs.begin(), m_gangs.end(), [](const auto& entry) {
        Phase phase = entry.second.coordinator.phase();
        return phase == Phase::Checkpointing || phase == Phase::Releasing || phase == Phase::Released;
    });
}

std::size_t GangRunner::runningGangs() const
{
    return static_cast<std::size_t>(std::count_if(m_gangs.begin(), m_gangs.end(),
        [](const auto& entry) { return entry.second.coordinator.phase() == Phase::Running; }));
}

void GangRunner::recordGangEvent(const Gang& gang, const char* kind, const std::string& detail) const
{
    m_environment.recordEvent(gang.job.id.value(), kind, detail);
}

} // namespace lentilsaddle::coordination
