#include "coordination/batch/WorkerSession.h"

#include "transport/EventLoop.h"
#include "transport/Logger.h"

#include <algorithm>
#include <set>

namespace lentilsaddle::coordination::batch {

using std::chrono::milliseconds;
using transport::LogLevel;
using transport::writeLog;
using Phase = Allocation::Phase;
using Status = WorkerCallResult::Status;

void WorkerSession::acknowledge(std::int64_t incarnation, std::int64_t number)
{
    if (incarnation != m_incarnation)
        return;
    m_acknowledgedEnd = std::max(m_acknowledgedEnd, number);
    if (m_acknowledgedEnd >= m_seenEnd && !m_observing)
        scheduleObservation(milliseconds(0));
}

void WorkerSession::observeNow()
{
    if (!m_observing)
        scheduleObservation(milliseconds(0));
}

void WorkerSession::resumeObservation()
{
    if (!m_allocations.empty() && !m_observing && m_observationTimer == 0)
        scheduleObservation(milliseconds(0));
}

void WorkerSession::scheduleObservation(milliseconds delay)
{
    m_loop.cancelTimer(m_observationTimer);
    m_observationTimer = m_loop.startTimer(delay, [this] { observe(); });
}

void WorkerSession::observe()
{
    m_observationTimer = 0;
    if (m_observing)
        return;
    if (!m_hooks.mayRenew()) {
        scheduleObservation(m_options.requestRetryDelay);
        return;
    }
    bool endsPending = m_seenEnd > m_acknowledgedEnd;
    bool stopConfirmationPending = std::any_of(m_allocations.begin(), m_allocations.end(),
        [](const auto& entry) { return entry.second.phase == Phase::StopAcknowledged && !entry.second.startResolved; });
    bool wait
        = m_fencingTokenConfirmed && m_reachable && !endsPending && !m_allocations.empty() && !stopConfirmationPending;
    // The lease of an unresponsive worker is left to expire: each attempt to renew it could still take effect.
    bool renew = m_clock.known() && !m_unresponsiveSince;
    // A worker that does not respond may have restarted, and another incarnation numbers its ends from 1.
    bool acknowledge = !m_unresponsiveSince && m_acknowledgedEnd > m_deliveredAcknowledgement;
    ObserveRequest request {
        .fencingToken = m_fencingToken,
        .acknowledgedEnd = acknowledge ? m_acknowledgedEnd : 0,
        .leaseEnd = renew ? std::optional(nextLeaseEnd()) : std::nullopt,
        .wait = wait ? m_options.observeWait : milliseconds(0),
    };
    m_observing = true;
    RequestOrigin requested = requestOrigin();
    requested.acknowledgedEnd = request.acknowledgedEnd;
    m_worker.observe(m_description, request, m_options.requestTimeout,
        [this, origin = requested, alive = std::weak_ptr(m_alive)](const Observation& observation) {
            if (!alive.expired())
                onObserved(origin, observation);
        });
}

void WorkerSession::confirmFencingToken(const RequestOrigin& origin, const WorkerCallResult& result)
{
    bool seen
        = origin.fencingToken == m_fencingToken && (result.incarnation == 0 || result.incarnation == m_incarnation);
    if (seen && !m_fencingTokenConfirmed)
        m_fencingTokenConfirmed = m_hooks.clock();
}

void WorkerSession::onObserved(const RequestOrigin& origin, const Observation& observation)
{
    m_observing = false;
    switch (observation.result.status) {
    case Status::Fenced:
        if (origin.fencingToken == m_fencingToken)
            m_hooks.onFenced();
        else
            scheduleObservation(milliseconds(0));
        return;
    case Status::Done:
        break;
    case Status::OtherIncarnation:
        if (origin.incarnation != m_incarnation) {
            // The response shows only that the incarnation has ended that the request was meant for.
            scheduleObservation(milliseconds(0));
            return;
        }
        declareAllLost(RunLoss::WorkerReplaced);
        m_reachable = false;
        if (m_listed)
            scheduleObservation(m_options.refusalBackoff);
        return;
    default:
        onUnresponsive(observation.result.error);
        return;
    }
    if (observation.result.incarnation != 0 && fromEarlierIncarnation(origin, observation.result)) {
        // A delayed response of an earlier incarnation does not describe this one.
        scheduleObservation(milliseconds(0));
        return;
    }
    bool clockWasKnown = m_clock.known();
    updateFromResponse(origin, observation.result);
    confirmFencingToken(origin, observation.result);
    if (origin.incarnation == m_incarnation)
        m_deliveredAcknowledgement = std::max(m_deliveredAcknowledgement, origin.acknowledgedEnd);
    bool wasUsable = usable(m_hooks.clock());
    if (m_unresponsiveSince)
        writeLog(LogLevel::Info, "worker", "responds again", { { "worker", m_description.id.value() } });
    m_unresponsiveSince.reset();
    m_reachable = true;
    m_lastResponse = m_hooks.clock();
    applyLists(origin.sent, observation);
    if (usable(m_hooks.clock()) != wasUsable)
        m_hooks.onChanged();
    // Before the clock was known, the lease could not be renewed. The token is raised by the response that names a new
    // incarnation.
    bool observeAgain = (!clockWasKnown && !m_allocations.empty()) || !m_fencingTokenConfirmed;
    if (observeAgain) {
        scheduleObservation(milliseconds(0));
        return;
    }
    bool endsPending = m_seenEnd > m_acknowledgedEnd;
    if (endsPending)
        scheduleObservation(m_options.observeWait);
    else if (!m_allocations.empty() || m_acknowledgedEnd > m_deliveredAcknowledgement)
        scheduleObservation(milliseconds(0));
}

void WorkerSession::onUnresponsive(const std::string& error)
{
    bool wasUsable = usable(m_hooks.clock());
    m_reachable = false;
    if (!m_unresponsiveSince) {
        m_unresponsiveSince = m_hooks.clock();
        writeLog(LogLevel::Warning, "worker", "unresponsive",
            { { "worker", m_description.id.value() }, { "error", error } });
    }
    if (wasUsable)
        m_hooks.onChanged();
    checkLease();
    if (!m_allocations.empty() || m_listed)
        scheduleObservation(m_options.requestRetryDelay);
}

void WorkerSession::checkLease()
{
    if (m_reachable)
        return;
    state::MonotonicTime now = m_hooks.clock();
    std::vector<std::pair<AllocationKey, RunLoss>> lost;
    for (const auto& [key, allocation] : m_allocations) {
        if (endedWithIncarnation(allocation))
            lost.emplace_back(key, RunLoss::WorkerRestarted);
        else if (allocation.phase != Phase::Claiming && now >= latestLeaseEnd(allocation) + m_options.leaseMargin)
            lost.emplace_back(key, RunLoss::LeaseExpired);
    }
    for (const auto& [key, loss] : lost)
        declareLost(key, loss);
}

state::MonotonicTime WorkerSession::latestFencedExecution() const
{
    if (m_fencingTokenConfirmed)
        return *m_fencingTokenConfirmed;
    if (m_earlierClockRequest)
        return std::max(*m_earlierClockRequest, m_unresponsiveSince.value_or(m_hooks.clock()));
    // An earlier leader claimed runs only after the incarnation had seen its token.
    return m_termStart;
}

state::MonotonicTime WorkerSession::latestLeaseEnd(const Allocation& allocation) const
{
    auto longestDuration = [this](milliseconds lease) {
        auto duration = std::chrono::duration<double, std::milli>(lease) / (1 - m_options.maximumClockDrift);
        return std::chrono::duration_cast<state::MonotonicTime::duration>(duration);
    };
    // An earlier leader renewed leases at most until the end of its grace period, which began before this term.
    state::MonotonicTime latestRenewal = m_termStart + m_options.renewalGrace;
    state::MonotonicTime end = latestRenewal + longestDuration(m_options.workerLease);
    if (m_clock.known() && m_latestLeaseEnd.count() > 0)
        end = std::max(end, m_clock.latestTimeOf(m_latestLeaseEnd));
    // A request for the clock of an earlier incarnation is shortened by the next one only to the longest lease.
    end = std::max(end, latestFencedExecution() + longestDuration(m_options.longestWorkerLease));
    bool restarted = startedOnEarlierIncarnation(allocation);
    if (allocation.listed && !restarted && !allocation.startOutstanding())
        return end;
    // The run may be one of an incarnation whose clock is unknown.
    if (allocation.inherited && restarted)
        end = std::max(end, latestRenewal + longestDuration(m_options.longestWorkerLease));
    if (m_latestLeaseRequest)
        end = std::max(end, *m_latestLeaseRequest + longestDuration(m_options.longestWorkerLease));
    return end;
}

void WorkerSession::applyLists(state::MonotonicTime sent, const Observation& observation)
{
    for (const RunningTask& running : observation.running) {
        auto found = m_allocations.find({ running.task, running.run });
        if (found == m_allocations.end()) {
            m_hooks.onUnknownRun(running);
            continue;
        }
        Allocation& allocation = found->second;
        if (!running.checkpoint.empty() && running.checkpoint != allocation.checkpoint) {
            allocation.checkpoint = running.checkpoint;
            allocation.lastCheckpoint = m_hooks.clock();
        }
        allocation.observedFromStart = allocation.observedFromStart && !allocation.inherited;
        allocation.inherited = false;
        allocation.incarnation = m_incarnation;
        allocation.listed = true;
        allocation.startResolved = true;
        allocation.percent = running.percent;
        if (allocation.phase == Phase::Starting || allocation.phase == Phase::Uncertain) {
            allocation.phase = Phase::Running;
            allocation.confirmableFrom = sent;
        }
        m_hooks.onBegun(running.task);
        m_hooks.onRunning(allocation);
    }
    applyEnds(observation);
    if (observation.complete)
        dropMissing(sent, observation);
}

void WorkerSession::applyEnds(const Observation& observation)
{
    for (const EndedTask& ended : observation.ended) {
        if (ended.number <= m_seenEnd)
            continue;
        auto node = m_allocations.extract({ ended.task, ended.run });
        EndedTask reported = ended;
        if (node && reported.checkpoint.empty())
            reported.checkpoint = node.mapped().checkpoint;
        m_hooks.onEnded(reported, node ? &node.mapped() : nullptr);
    }
    m_seenEnd = std::max(m_seenEnd, observation.lastEnd);
    if (!observation.ended.empty())
        m_hooks.onChanged();
}

void WorkerSession::dropMissing(state::MonotonicTime sent, const Observation& observation)
{
    std::set<AllocationKey> listed;
    for (const RunningTask& running : observation.running)
        listed.insert({ running.task, running.run });
    std::vector<AllocationKey> missing;
    for (const auto& [key, allocation] : m_allocations) {
        if (!listed.contains(key))
            missing.push_back(key);
    }
    for (const AllocationKey& key : missing) {
        if (!endedUnlessListed(m_allocations.at(key), sent)) {
            stopOutstandingStart(key, sent);
            continue;
        }
        bool restarted = startedOnEarlierIncarnation(m_allocations.at(key));
        declareLost(key, restarted ? RunLoss::WorkerRestarted : RunLoss::NotListed);
    }
}

void WorkerSession::stopOutstandingStart(const AllocationKey& key, state::MonotonicTime sent)
{
    const Allocation& allocation = m_allocations.at(key);
    if (allocation.phase == Phase::Running && allocation.confirmableFrom < sent && !allocation.startInFlight)
        stop(key, { .reason = StopReason::StartUnanswered });
}

bool WorkerSession::endedUnlessListed(const Allocation& allocation, state::MonotonicTime sent) const
{
    if (endedWithIncarnation(allocation))
        return true;
    // The worker no longer executes requests of earlier terms, because it has seen this term.
    if (allocation.inherited)
        return true;
    if (allocation.phase == Phase::Running) {
        // An incarnation that has run it executes no other start request of the run.
        bool listedHere = allocation.listed && !startedOnEarlierIncarnation(allocation);
        return allocation.confirmableFrom < sent && (listedHere || !allocation.startOutstanding());
    }
    return allocation.phase == Phase::StopAcknowledged && allocation.confirmableFrom + m_options.stopGrace < sent;
}

} // namespace lentilsaddle::coordination::batch
