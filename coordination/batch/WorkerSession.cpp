#include "coordination/batch/WorkerSession.h"

#include "coordination/batch/AllocationProgress.h"
#include "transport/EventLoop.h"
#include "transport/Logger.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination::batch {

using std::chrono::milliseconds;
using transport::LogLevel;
using transport::writeLog;
using Phase = Allocation::Phase;
using Status = WorkerCallResult::Status;

WorkerSession::WorkerSession(transport::EventLoop& loop, const WorkerHooks& worker, const BatchOptions& options,
    state::batch::BatchWorker description, Hooks hooks)
    : m_loop(loop)
    , m_worker(worker)
    , m_options(options)
    , m_description(std::move(description))
    , m_hooks(std::move(hooks))
    , m_fencingToken(m_hooks.nextFencingToken())
    , m_incarnation(m_description.incarnation)
    , m_clock(options.maximumClockDrift)
    , m_termStart(m_hooks.clock())
{
    updateColdUntil();
}

WorkerSession::~WorkerSession()
{
    m_loop.cancelTimer(m_observationTimer);
}

void WorkerSession::update(const state::batch::BatchWorker& description, bool listed)
{
    bool changed = description.draining != m_description.draining || listed != m_listed;
    bool coldChanged = description.coldRemaining != m_description.coldRemaining
        || description.incarnation != m_description.incarnation;
    m_description = description;
    m_listed = listed;
    // An unchanged entry is older than this call.
    if (coldChanged)
        updateColdUntil();
    // Entries may lag behind the responses of the worker.
    if (description.incarnation > m_incarnation && !m_endedIncarnations.contains(description.incarnation))
        updateIncarnation(description.incarnation);
    if (changed)
        m_hooks.onChanged();
}

void WorkerSession::updateColdUntil()
{
    m_coldUntil = m_hooks.clock() + m_description.coldRemaining;
}

void WorkerSession::setListed(bool listed)
{
    if (m_listed == listed)
        return;
    m_listed = listed;
    writeLog(LogLevel::Info, "worker", listed ? "worker listed in the directory" : "worker removed from the directory",
        { { "worker", m_description.id.value() } });
    m_hooks.onChanged();
}

WorkerSession::RequestOrigin WorkerSession::requestOrigin() const
{
    return { .sent = m_hooks.clock(), .incarnation = m_incarnation, .fencingToken = m_fencingToken };
}

WorkerCallResult WorkerSession::withoutOwnFence(const RequestOrigin& origin, WorkerCallResult result) const
{
    if (result.status == Status::Fenced && origin.fencingToken != m_fencingToken)
        result.status = Status::NotDelivered;
    return result;
}

void WorkerSession::inherit(const Allocation& allocation)
{
    m_allocations[{ allocation.task, allocation.run }] = allocation;
}

void WorkerSession::reserve(const Allocation& allocation)
{
    m_allocations[{ allocation.task, allocation.run }] = allocation;
}

void WorkerSession::cancelReservation(const AllocationKey& key)
{
    m_allocations.erase(key);
}

milliseconds WorkerSession::nextLeaseEnd()
{
    m_latestLeaseRequest = m_hooks.clock();
    milliseconds end = m_clock.estimate(*m_latestLeaseRequest) + m_options.workerLease;
    m_latestLeaseEnd = std::max(m_latestLeaseEnd, end);
    return m_latestLeaseEnd;
}

void WorkerSession::start(const AllocationKey& key, const std::string& payload)
{
    auto found = m_allocations.find(key);
    if (found == m_allocations.end() || found->second.phase != Phase::Claiming)
        return;
    Allocation& allocation = found->second;
    if (!m_hooks.authorised() || !m_clock.known()) {
        declareLost(key, RunLoss::NotSent);
        return;
    }
    allocation.phase = Phase::Starting;
    allocation.incarnation = m_incarnation;
    allocation.since = m_hooks.clock();
    sendStart(key, payload);
    if (!m_observing)
        scheduleObservation(allocation.suspect ? m_options.suspectObserveDelay : m_options.observeWait / 4);
}

void WorkerSession::sendStart(const AllocationKey& key, const std::string& payload)
{
    Allocation& allocation = m_allocations.at(key);
    allocation.startInFlight = true;
    StartRequest request {
        .task = allocation.task,
        .run = allocation.run,
        .payload = payload,
        .checkpoint = allocation.checkpoint,
        .leaseEnd = nextLeaseEnd(),
        .fencingToken = m_fencingToken,
    };
    m_worker.start(m_description, request, m_options.startTimeout,
        [this, key, origin = requestOrigin(), payload, alive = std::weak_ptr(m_alive)](const WorkerCallResult& result) {
            if (!alive.expired())
                onStarted(key, origin, payload, withoutOwnFence(origin, result));
        });
}

void WorkerSession::onStartTimedOut(const AllocationKey& key, const std::string& payload)
{
    Allocation& allocation = m_allocations.at(key);
    allocation.attemptTimedOut = true;
    if (allocation.phase != Phase::Starting)
        return;
    // The incarnation recognises a run that it already has, so the start can be retried there, and only there.
    // If no earlier attempt was executed, a retry is new work: on a worker that drains now, in a data centre that is
    // evacuated now, or over a capacity that has shrunk since.
    bool open = m_listed && !m_description.draining && !evacuated();
    bool fits = m_hooks.mayStart() && state::batch::Resources {}.fitsInto(freeCapacity());
    bool retry = open && fits && m_hooks.clock() - allocation.since < m_options.startRetryLimit && m_hooks.authorised()
        && !startedOnEarlierIncarnation(allocation);
    if (retry) {
        sendStart(key, payload);
        return;
    }
    abandonStart(key);
}

void WorkerSession::retryStartLater(const AllocationKey& key, const std::string& payload)
{
    m_loop.startTimer(m_options.requestRetryDelay, [this, key, payload, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired() && m_allocations.contains(key))
            onStartTimedOut(key, payload);
    });
}

void WorkerSession::abandonStart(const AllocationKey& key)
{
    Allocation& allocation = m_allocations.at(key);
    if (allocation.phase != Phase::Starting)
        return;
    allocation.phase = Phase::Uncertain;
    pause(m_options.refusalBackoff);
    stop(key, { .reason = StopReason::StartUnanswered });
}

void WorkerSession::updateFromResponse(const RequestOrigin& origin, const WorkerCallResult& result)
{
    if (result.incarnation != 0 && !fromEarlierIncarnation(origin, result))
        updateIncarnation(result.incarnation);
    // A late response without an incarnation may carry the clock of an earlier one, which bounds no lease.
    std::int64_t responder = result.incarnation != 0 ? result.incarnation : origin.incarnation;
    if (result.clock && responder == m_incarnation)
        m_clock.addReading(*result.clock, m_hooks.clock());
}

void WorkerSession::onStarted(
    const AllocationKey& key, const RequestOrigin& origin, const std::string& payload, const WorkerCallResult& result)
{
    updateFromResponse(origin, result);
    auto found = m_allocations.find(key);
    if (found == m_allocations.end())
        return;
    Allocation& allocation = found->second;
    allocation.startInFlight = false;
    bool stopping = allocation.phase == Phase::Stopping || allocation.phase == Phase::StopAcknowledged;
    if (result.status != Status::Done)
        writeLog(LogLevel::Info, "worker", "start not confirmed",
            { { "task", key.first.toString() }, { "run", std::to_string(key.second) },
                { "worker", m_description.id.value() }, { "status", std::to_string(static_cast<int>(result.status)) },
                { "error", result.error } });
    bool mayRunDespiteResponse = allocation.attemptTimedOut && result.status != Status::Done
        && result.status != Status::Unknown && result.status != Status::Fenced;
    if (mayRunDespiteResponse) {
        if (result.status == Status::NotDelivered)
            retryStartLater(key, payload);
        else
            abandonStart(key);
        return;
    }
    switch (result.status) {
    case Status::Done:
        allocation.startResolved = true;
        if (allocation.phase != Phase::StopAcknowledged)
            allocation.confirmableFrom = m_hooks.clock();
        if (!stopping)
            allocation.phase = Phase::Running;
        m_hooks.onBegun(key.first);
        return;
    case Status::Unknown:
        onStartTimedOut(key, payload);
        return;
    case Status::StaleRun:
        // This run or a later one was stopped or has ended on the worker, so the start had no effect.
        declareLost(key, RunLoss::StaleRun);
        return;
    case Status::Fenced:
        m_hooks.onFenced();
        return;
    case Status::InsufficientCapacity:
    case Status::NotDelivered:
    case Status::Invalid:
        pause(m_options.refusalBackoff);
        [[fallthrough]];
    case Status::LeaseExpired:
    case Status::OtherIncarnation:
        if (stopping && allocation.phase == Phase::Stopping)
            return;
        declareLost(key, RunLoss::Refused);
        return;
    }
}

void WorkerSession::stop(const AllocationKey& key, const StopCause& cause)
{
    auto found = m_allocations.find(key);
    if (found == m_allocations.end())
        return;
    Allocation& allocation = found->second;
    if (allocation.phase == Phase::Claiming) {
        allocation.withdrawn = allocation.withdrawn || yieldsCapacity(cause.reason);
        return;
    }
    if (allocation.phase == Phase::Stopping || allocation.phase == Phase::StopAcknowledged)
        return;
    double lostWork = workLostByStop(progressOf(allocation), m_hooks.clock());
    m_hooks.onStopping(allocation, cause, lostWork);
    writeLog(LogLevel::Info, "worker", "stopping",
        { { "task", key.first.toString() }, { "run", std::to_string(key.second) },
            { "worker", m_description.id.value() }, { "reason", stopReasonName(cause.reason) },
            { "for", cause.beneficiary.value() },
            { "lost_core_seconds", std::to_string(static_cast<std::int64_t>(lostWork)) },
            { "phase", allocationPhaseName(allocation.phase) } });
    allocation.phase = Phase::Stopping;
    sendStop(key);
}

void WorkerSession::stopUnknown(const RunningTask& running, const state::batch::Resources& resources)
{
    AllocationKey key { running.task, running.run };
    if (m_allocations.contains(key))
        return;
    m_allocations[key] = {
        .task = running.task,
        .run = running.run,
        .resources = resources,
        .phase = Phase::Running,
        .incarnation = m_incarnation,
        .listed = true,
        .startResolved = true,
        .checkpoint = running.checkpoint,
        .since = m_hooks.clock(),
    };
    stop(key, { .reason = StopReason::Unclaimed });
}

void WorkerSession::sendStop(const AllocationKey& key)
{
    auto found = m_allocations.find(key);
    if (found == m_allocations.end() || found->second.phase != Phase::Stopping || found->second.stopInFlight)
        return;
    if (!m_hooks.authorised()) {
        m_loop.startTimer(m_options.requestRetryDelay, [this, key, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                sendStop(key);
        });
        return;
    }
    found->second.stopInFlight = true;
    StopRequest request { .task = key.first, .run = key.second, .fencingToken = m_fencingToken };
    m_worker.stop(m_description, request, m_options.requestTimeout,
        [this, key, origin = requestOrigin(), alive = std::weak_ptr(m_alive)](const WorkerCallResult& result) {
            if (!alive.expired())
                onStopped(key, origin, withoutOwnFence(origin, result));
        });
}

void WorkerSession::onStopped(const AllocationKey& key, const RequestOrigin& origin, const WorkerCallResult& result)
{
    updateFromResponse(origin, result);
    auto found = m_allocations.find(key);
    if (found == m_allocations.end())
        return;
    Allocation& allocation = found->second;
    allocation.stopInFlight = false;
    if (origin.incarnation != m_incarnation && result.status != Status::Fenced) {
        // An earlier incarnation may have responded.
        sendStop(key);
        return;
    }
    switch (result.status) {
    case Status::Fenced:
        m_hooks.onFenced();
        return;
    case Status::Done:
    case Status::StaleRun:
        allocation.phase = Phase::StopAcknowledged;
        allocation.confirmableFrom = m_hooks.clock();
        if (allocation.failedStops > 0)
            logStop("stop confirmed", key, result, allocation.failedStops);
        if (!m_observing)
            observeNow();
        return;
    case Status::OtherIncarnation:
        // The worker has ended with all its runs, so that they are reported as lost together.
        declareAllLost(RunLoss::WorkerReplaced);
        return;
    default:
        // The retries follow in short intervals, so only the first failure is logged.
        if (++allocation.failedStops == 1)
            logStop("stop not confirmed", key, result, allocation.failedStops);
        m_loop.startTimer(m_options.requestRetryDelay, [this, key, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                sendStop(key);
        });
        return;
    }
}

void WorkerSession::logStop(
    const char* message, const AllocationKey& key, const WorkerCallResult& result, int failedStops) const
{
    writeLog(LogLevel::Info, "worker", message,
        { { "task", key.first.toString() }, { "run", std::to_string(key.second) },
            { "worker", m_description.id.value() }, { "status", std::to_string(static_cast<int>(result.status)) },
            { "failed_stops", std::to_string(failedStops) }, { "error", result.error } });
}

void WorkerSession::updateIncarnation(std::int64_t incarnation)
{
    if (incarnation == m_incarnation)
        return;
    std::int64_t previous = std::exchange(m_incarnation, incarnation);
    m_endedIncarnations.erase(incarnation);
    m_fencingToken = m_hooks.nextFencingToken();
    m_fencingTokenConfirmed.reset();
    if (previous == 0)
        return;
    m_endedIncarnations.insert(previous);
    writeLog(LogLevel::Warning, "worker", "worker restarted",
        { { "worker", m_description.id.value() }, { "incarnation", std::to_string(incarnation) },
            { "previous", std::to_string(previous) }, { "fencing_token", std::to_string(m_fencingToken) },
            { "allocations", std::to_string(m_allocations.size()) } });
    m_hooks.onRestarted(previous, startPending());
    m_clock.reset();
    m_latestLeaseEnd = milliseconds(0);
    m_earlierClockRequest = m_latestLeaseRequest;
    m_seenEnd = 0;
    m_acknowledgedEnd = 0;
    m_deliveredAcknowledgement = 0;
    repeatStops();
    // The new incarnation may have executed starts, so only its list shows which runs have ended.
    observeNow();
}

bool WorkerSession::fromEarlierIncarnation(const RequestOrigin& origin, const WorkerCallResult& result) const
{
    // The known incarnation had started when a request was sent for it, so whatever responds to that one has followed.
    return origin.incarnation != m_incarnation && result.incarnation != m_incarnation;
}

void WorkerSession::repeatStops()
{
    std::vector<AllocationKey> keys;
    for (auto& [key, allocation] : m_allocations) {
        if (allocation.phase != Phase::StopAcknowledged)
            continue;
        allocation.phase = Phase::Stopping;
        keys.push_back(key);
    }
    for (const AllocationKey& key : keys)
        sendStop(key);
}

bool WorkerSession::startPending() const
{
    return std::any_of(m_allocations.begin(), m_allocations.end(),
        [](const auto& entry) { return entry.second.phase != Phase::Claiming && !entry.second.listed; });
}

bool WorkerSession::startedOnEarlierIncarnation(const Allocation& allocation) const
{
    return incarnationsDiffer(allocation.incarnation, m_incarnation);
}

bool WorkerSession::endedWithIncarnation(const Allocation& allocation) const
{
    return allocation.listed && startedOnEarlierIncarnation(allocation) && !allocation.startOutstanding();
}

void WorkerSession::declareAllLost(RunLoss loss)
{
    std::vector<AllocationKey> keys;
    for (const auto& [key, allocation] : m_allocations) {
        if (allocation.phase != Phase::Claiming)
            keys.push_back(key);
    }
    if (!keys.empty())
        m_hooks.onRestarted(m_incarnation, startPending());
    for (const AllocationKey& key : keys)
        declareLost(key, loss);
}

void WorkerSession::declareLost(const AllocationKey& key, RunLoss loss)
{
    auto node = m_allocations.extract(key);
    if (!node)
        return;
    writeLog(LogLevel::Info, "worker", "run lost",
        { { "task", key.first.toString() }, { "run", std::to_string(key.second) },
            { "worker", m_description.id.value() }, { "cause", runLossName(loss) },
            { "incarnation", std::to_string(m_incarnation) }, { "phase", allocationPhaseName(node.mapped().phase) },
            { "confirmed", node.mapped().startResolved ? "true" : "false" } });
    m_hooks.onLost(node.mapped(), loss);
}

bool WorkerSession::reachable() const
{
    return m_listed && !m_description.draining && m_fencingTokenConfirmed && m_reachable && m_clock.known();
}

bool WorkerSession::responsive(state::MonotonicTime now) const
{
    if (!reachable())
        return false;
    if (m_pausedUntil && now < *m_pausedUntil)
        return false;
    return respondedRecently(now);
}

bool WorkerSession::respondedRecently(state::MonotonicTime now) const
{
    // A worker without tasks is not observed; an old response does not show that it is still alive.
    return m_lastResponse && m_clock.known() && now - *m_lastResponse <= m_options.workerLease / 2;
}

bool WorkerSession::needsObservation(state::MonotonicTime now) const
{
    // Early enough that a worker without tasks stays usable while units wait: a gang needs all of its workers at once.
    bool due = !respondedRecently(now) || now - *m_lastResponse > m_options.workerLease / 4;
    return m_listed && !m_description.draining && !m_observing && due;
}

state::batch::Resources WorkerSession::freeCapacity() const
{
    state::batch::Resources capacity = m_description.capacity;
    for (const auto& [key, allocation] : m_allocations)
        capacity -= allocation.resources;
    return capacity;
}

void WorkerSession::pause(milliseconds duration)
{
    m_pausedUntil = m_hooks.clock() + duration;
    m_loop.startTimer(duration, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            m_hooks.onChanged();
    });
}

} // namespace lentilsaddle::coordination::batch
