#include "coordination/decisions/GangCoordinator.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using state::MonotonicTime;
using state::WorkerId;
using state::WorkerTask;

GangCoordinator::GangCoordinator(const Options& options, const std::vector<WorkerId>& workers)
    : m_options(options)
{
    for (const WorkerId& worker : workers)
        m_members.emplace(worker, Member {});
}

template <typename Predicate> bool GangCoordinator::all(Predicate predicate) const
{
    return std::all_of(
        m_members.begin(), m_members.end(), [&predicate](const auto& entry) { return predicate(entry.second); });
}

bool GangCoordinator::beforeRelease() const
{
    return m_phase == Phase::Reserving || m_phase == Phase::Starting || m_phase == Phase::Running
        || m_phase == Phase::Checkpointing;
}

bool GangCoordinator::anyStartSent() const
{
    return !all([](const Member& member) { return !member.startSent; });
}

bool GangCoordinator::holdsLease(const WorkerId& worker) const
{
    auto found = m_members.find(worker);
    return found != m_members.end() && found->second.leased && !found->second.released;
}

bool GangCoordinator::needsRenewal(const WorkerId& worker) const
{
    return beforeRelease() && holdsLease(worker);
}

GangCoordinator::Commands GangCoordinator::forAll(GangCommand::Kind kind) const
{
    Commands commands;
    for (const auto& [worker, member] : m_members)
        commands.push_back({ .kind = kind, .worker = worker });
    return commands;
}

GangCoordinator::Commands GangCoordinator::begin()
{
    m_phase = Phase::Reserving;
    for (auto& [worker, member] : m_members)
        member.leaseInFlight = true;
    return forAll(GangCommand::Kind::Lease);
}

void GangCoordinator::adoptMember(
    Member& member, const std::optional<WorkerTask::State>& reported, MonotonicTime deadline)
{
    member.leased = true;
    member.deadline = deadline;
    // A task that is not listed may have run and ended.
    member.startSent = reported != WorkerTask::State::Leased;
    member.started = member.startSent;
    member.succeeded = reported == WorkerTask::State::Succeeded;
}

GangCoordinator::Commands GangCoordinator::recover(
    const RecoveryReports& reports, MonotonicTime silentUntil, MonotonicTime now)
{
    // The remaining time of the leases is unknown; the first renewal tells whether they still hold. A gang of which
    // nothing is visible may go on running under its earlier scheduler, so it is left alone for longer.
    MonotonicTime deadline = reports.empty() ? silentUntil : now + m_options.leaseTtl - m_options.leaseMargin;
    bool complete = true;
    bool onlyLeased = true;
    WorkerId failed;
    for (auto& [worker, member] : m_members) {
        auto report = reports.find(worker);
        if (report == reports.end()) {
            adoptMember(member, std::nullopt, deadline);
            member.freeAt = silentUntil;
            onlyLeased = false;
            continue;
        }
        adoptMember(member, report->second, deadline);
        onlyLeased = onlyLeased && report->second == WorkerTask::State::Leased;
        complete = complete && (report->second == WorkerTask::State::Running || member.succeeded);
        if (report->second == WorkerTask::State::Failed)
            failed = worker;
    }
    if (!failed.empty())
        return release("failed", "the task failed before the takeover", failed);
    if (onlyLeased)
        return release("released", "the earlier scheduler ended before the start", {});
    if (!complete)
        return release("unknown", "the gang was incomplete at the takeover", {});
    m_phase = Phase::Running;
    if (!all([](const Member& member) { return member.succeeded; }))
        return {};
    m_phase = Phase::Succeeded;
    m_outcome = { .outcome = "succeeded", .reason = {}, .failedWorkers = {} };
    return { { .kind = GangCommand::Kind::RecordEnd, .worker = {} } };
}

GangCoordinator::Commands GangCoordinator::handleLeaseResult(
    const WorkerId& worker, CallResult result, MonotonicTime sentAt, MonotonicTime now)
{
    Member& member = m_members.at(worker);
    member.leaseInFlight = false;
    if (m_phase == Phase::Releasing) {
        member.releaseInFlight = true;
        return { { .kind = GangCommand::Kind::Release, .worker = worker } };
    }
    if (m_phase != Phase::Reserving)
        return {};
    if (result != CallResult::Ok)
        return release("released", "worker '" + worker.value() + "' did not grant the lease", worker);
    member.leased = true;
    member.deadline = sentAt + m_options.leaseTtl - m_options.leaseMargin;
    if (!all([](const Member& other) { return other.leased; }))
        return {};
    if (!mayStart(now))
        return startSkipped(now);
    m_phase = Phase::Starting;
    return forAll(GangCommand::Kind::Start);
}

bool GangCoordinator::mayStart(MonotonicTime now) const
{
    if (m_phase != Phase::Reserving && m_phase != Phase::Starting)
        return false;
    return all([now](const Member& member) { return member.leased && now < member.deadline; });
}

GangCoordinator::Commands GangCoordinator::startSkipped(MonotonicTime now)
{
    if (m_phase != Phase::Reserving && m_phase != Phase::Starting)
        return {};
    Commands commands = checkDeadlines(now);
    return beforeRelease() ? release("unknown", "a start was held back", {}) : commands;
}

void GangCoordinator::startSent(const WorkerId& worker)
{
    m_members.at(worker).startSent = true;
}

GangCoordinator::Commands GangCoordinator::handleStartResult(const WorkerId& worker, CallResult result, MonotonicTime)
{
    Member& member = m_members.at(worker);
    // A refusal is certain: nothing started there.
    if (result == CallResult::Refused)
        member.startSent = false;
    if (m_phase != Phase::Starting)
        return {};
    if (result != CallResult::Ok)
        return release("unknown", "worker '" + worker.value() + "' did not start the task", worker);
    member.started = true;
    if (all([](const Member& other) { return other.started; }))
        m_phase = Phase::Running;
    return {};
}

GangCoordinator::Commands GangCoordinator::renewed(const WorkerId& worker, MonotonicTime sentAt)
{
    Member& member = m_members.at(worker);
    member.deadline = std::max(member.deadline, sentAt + m_options.leaseTtl - m_options.leaseMargin);
    return {};
}

GangCoordinator::Commands GangCoordinator::renewalFailed(const WorkerId& worker, MonotonicTime now)
{
    const Member& member = m_members.at(worker);
    if (!beforeRelease() || !member.leased || member.succeeded || now < member.deadline)
        return {};
    return release("unknown", "worker '" + worker.value() + "' could not be reached for a lease term", worker);
}

GangCoordinator::Commands GangCoordinator::leaseLost(const WorkerId& worker, MonotonicTime)
{
    const Member& member = m_members.at(worker);
    if (!beforeRelease() || !member.leased || member.succeeded)
        return {};
    return release("unknown", "worker '" + worker.value() + "' lost the lease", worker);
}

GangCoordinator::Commands GangCoordinator::taskReported(
    const WorkerId& worker, WorkerTask::State state, const std::string& reason, MonotonicTime)
{
    Member& member = m_members.at(worker);
    if (!beforeRelease() || !member.startSent)
        return {};
    if (state == WorkerTask::State::Failed)
        return release("failed", reason.empty() ? "the task failed" : reason, worker);
    if (state == WorkerTask::State::Lapsed)
        return release("unknown", "the lease on worker '" + worker.value() + "' lapsed", worker);
    if (state != WorkerTask::State::Succeeded)
        return {};
    member.succeeded = true;
    if (!all([](const Member& other) { return other.succeeded; }))
        return {};
    m_phase = Phase::Succeeded;
    m_outcome = { .outcome = "succeeded", .reason = {}, .failedWorkers = {} };
    return { { .kind = GangCommand::Kind::RecordEnd, .worker = {} } };
}

GangCoordinator::Commands GangCoordinator::preempt(MonotonicTime now)
{
    if (m_phase == Phase::Reserving || m_phase == Phase::Starting)
        return stopUncheckpointed("preempted before the start was complete");
    if (m_phase != Phase::Running)
        return {};
    m_phase = Phase::Checkpointing;
    m_checkpointDeadline = now + m_options.checkpointLimit;
    return forAll(GangCommand::Kind::Checkpoint);
}

GangCoordinator::Commands GangCoordinator::handleCheckpointResult(
    const WorkerId& worker, CallResult result, MonotonicTime)
{
    Member& member = m_members.at(worker);
    if (m_phase != Phase::Checkpointing)
        return {};
    if (result != CallResult::Ok && !member.succeeded)
        return stopUncheckpointed("preempted; worker '" + worker.value() + "' wrote no checkpoint");
    member.checkpointed = true;
    if (!all([](const Member& other) { return other.checkpointed; }))
        return {};
    return release("preempted", "preempted after a checkpoint", {});
}

GangCoordinator::Commands GangCoordinator::stopUncheckpointed(const std::string& reason)
{
    return release(m_options.repeatable || !anyStartSent() ? "preempted" : "unknown", reason, {});
}

GangCoordinator::Commands GangCoordinator::cancel(MonotonicTime)
{
    if (!beforeRelease())
        return {};
    return release("unknown", "cancelled by the caller", {});
}

GangCoordinator::Commands GangCoordinator::release(
    const char* outcome, const std::string& reason, const WorkerId& blamed)
{
    m_outcome = { .outcome = outcome, .reason = reason, .failedWorkers = {} };
    if (!blamed.empty())
        m_outcome.failedWorkers.insert(blamed);
    return releaseAll();
}

GangCoordinator::Commands GangCoordinator::releaseAll()
{
    m_phase = Phase::Releasing;
    Commands commands;
    for (auto& [worker, member] : m_members) {
        if (member.released || member.leaseInFlight)
            continue;
        member.releaseInFlight = true;
        commands.push_back({ .kind = GangCommand::Kind::Release, .worker = worker });
    }
    return commands.empty() ? settle() : commands;
}

GangCoordinator::Commands GangCoordinator::handleReleaseResult(
    const WorkerId& worker, CallResult result, MonotonicTime now)
{
    Member& member = m_members.at(worker);
    member.releaseInFlight = false;
    member.retryAt = now + m_options.releaseRetry;
    if (result == CallResult::Ok)
        member.released = true;
    else if (!member.freeAt)
        member.freeAt = now + m_options.leaseTtl + m_options.leaseMargin;
    return settle();
}

GangCoordinator::Commands GangCoordinator::settle()
{
    if (m_phase != Phase::Releasing || !all([](const Member& member) { return member.released; }))
        return {};
    if (m_outcome.outcome == "succeeded") {
        m_phase = Phase::Ended;
        return {};
    }
    m_phase = Phase::Released;
    // A start whose answer is missing may have run; one that was never sent or was refused did not.
    if (m_outcome.outcome == "unknown" && !anyStartSent())
        m_outcome.outcome = "released";
    return { { .kind = GangCommand::Kind::RecordEnd, .worker = {} } };
}

GangCoordinator::Commands GangCoordinator::endRecorded()
{
    if (m_phase == Phase::Succeeded)
        return releaseAll();
    if (m_phase == Phase::Released)
        m_phase = Phase::Ended;
    return {};
}

GangCoordinator::Commands GangCoordinator::checkDeadlines(MonotonicTime now)
{
    for (const auto& [worker, member] : m_members) {
        if (member.leased && now >= member.deadline)
            return release("unknown", "the lease on worker '" + worker.value() + "' lapsed before the start", {});
    }
    return {};
}

GangCoordinator::Commands GangCoordinator::tick(MonotonicTime now)
{
    if (m_phase == Phase::Reserving || m_phase == Phase::Starting)
        return checkDeadlines(now);
    if (m_phase == Phase::Checkpointing && now >= m_checkpointDeadline)
        return stopUncheckpointed("preempted; no checkpoint within the limit");
    if (m_phase != Phase::Releasing)
        return {};
    Commands commands;
    for (auto& [worker, member] : m_members) {
        if (member.released || member.releaseInFlight || member.leaseInFlight)
            continue;
        if (member.freeAt && now >= *member.freeAt) {
            member.released = true;
            continue;
        }
        if (now < member.retryAt)
            continue;
        member.releaseInFlight = true;
        commands.push_back({ .kind = GangCommand::Kind::Release, .worker = worker });
    }
    Commands settled = settle();
    commands.insert(commands.end(), settled.begin(), settled.end());
    return commands;
}

std::optional<MonotonicTime> GangCoordinator::nextTick() const
{
    if (m_phase == Phase::Checkpointing)
        return m_checkpointDeadline;
    std::optional<MonotonicTime> next;
    auto consider = [&next](MonotonicTime time) { next = next ? std::min(*next, time) : time; };
    for (const auto& [worker, member] : m_members) {
        if ((m_phase == Phase::Reserving || m_phase == Phase::Starting) && member.leased)
            consider(member.deadline);
        bool waits = !member.released && !member.releaseInFlight && !member.leaseInFlight;
        if (m_phase == Phase::Releasing && waits)
            consider(member.freeAt ? std::min(*member.freeAt, member.retryAt) : member.retryAt);
    }
    return next;
}

} // namespace lentilsaddle::coordination
