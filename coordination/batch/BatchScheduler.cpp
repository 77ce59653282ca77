#include "coordination/batch/BatchScheduler.h"

#include "transport/EventLoop.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJobEntry;
using state::batch::BatchStep;
using state::batch::BatchTaskId;
using state::batch::BatchTaskState;
using state::batch::BatchWorker;
using transport::LogLevel;
using transport::writeLog;
using TaskPhase = BatchTaskState::Phase;

BatchScheduler::BatchScheduler(transport::EventLoop& loop, const BatchOptions& options, const WorkerHooks& worker,
    std::uint64_t term, const state::batch::BatchTable& table, transport::Metrics& metrics, Hooks hooks)
    : m_loop(loop)
    , m_options(options)
    , m_worker(worker)
    , m_term(term)
    , m_fencingTokens(term)
    , m_table(table)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_restarts(options.crashSettleTime)
    , m_quarantine(options.quarantine)
{
}

BatchScheduler::~BatchScheduler() = default;

void BatchScheduler::start(
    const std::map<state::WorkerId, BatchWorker>& workers, const state::batch::WorkerSpeedSummary& speeds)
{
    if (m_options.learnRunTimes)
        m_speed.restore(speeds, m_hooks.clock());
    m_termStart = m_hooks.clock();
    inheritClaims(workers);
    onWorkers(workers);
    for (auto& [id, session] : m_sessions)
        session->observeNow();
    refresh();
}

WorkerSession::Hooks BatchScheduler::sessionHooks(const state::WorkerId& worker)
{
    return {
        .clock = m_hooks.clock,
        .nextFencingToken = [this] { return m_fencingTokens.next(); },
        .authorised = m_hooks.authorised,
        .mayRenew = m_hooks.mayRenew,
        .mayStart = [this] { return m_hooks.directoryCurrent() && m_hooks.evacuationsCurrent(); },
        .evacuated = m_hooks.evacuated,
        .onFenced = m_hooks.onFenced,
        .onStopping = [this](const Allocation& allocation, const StopCause& cause,
                          double lostWork) { onStopping(allocation, cause, lostWork); },
        .onEnded
        = [this, worker](const EndedTask& ended, const Allocation* allocation) { onEnded(worker, ended, allocation); },
        .onLost = [this, worker](const Allocation& lost, RunLoss loss) { onLost(worker, lost, loss); },
        .onRestarted = [this, worker](std::int64_t incarnation,
                           bool startPending) { onRestarted(worker, incarnation, startPending); },
        .onBegun = [this](const BatchTaskId& task) { onBegun(task.job); },
        .onRunning = [this, worker](Allocation& allocation) { onRunning(worker, allocation); },
        .onUnknownRun = [this, worker](const RunningTask& running) { onUnknownRun(worker, running); },
        .onChanged = [this] { requestPlan(); },
    };
}

WorkerSession& BatchScheduler::sessionFor(const BatchWorker& worker)
{
    auto found = m_sessions.find(worker.id);
    if (found == m_sessions.end()) {
        auto session = std::make_unique<WorkerSession>(m_loop, m_worker, m_options, worker, sessionHooks(worker.id));
        found = m_sessions.emplace(worker.id, std::move(session)).first;
        // Shows the worker the fencing token of the session, also if there is no work for it.
        found->second->observeNow();
    }
    return *found->second;
}

void BatchScheduler::inheritClaims(const std::map<state::WorkerId, BatchWorker>& workers)
{
    for (const state::JobId& job : m_table.activeJobs()) {
        const BatchJobEntry& entry = *m_table.find(job);
        entry.forEachOpenTask([&](const BatchTaskId& task, const BatchTaskState& taskState) {
            if (taskState.phase == TaskPhase::Claimed)
                inheritClaim(entry, task, taskState, workers);
        });
    }
}

void BatchScheduler::inheritClaim(const BatchJobEntry& entry, const BatchTaskId& task, const BatchTaskState& claimed,
    const std::map<state::WorkerId, BatchWorker>& workers)
{
    auto listed = workers.find(claimed.worker);
    BatchWorker worker = listed != workers.end()
        ? listed->second
        : BatchWorker { .id = claimed.worker, .service = entry.job().queue.service, .address = claimed.workerAddress };
    Allocation allocation {
        .task = task,
        .run = claimed.run,
        .entry = &entry,
        .resources = entry.job().steps[static_cast<std::size_t>(task.step)].resources,
        .phase = Allocation::Phase::Uncertain,
        .incarnation = claimed.workerIncarnation,
        .inherited = true,
        .claimedEarlier = true,
        .checkpoint = claimed.checkpoint,
        .since = m_hooks.clock(),
    };
    WorkerSession& session = sessionFor(worker);
    if (listed == workers.end())
        session.setListed(false);
    session.inherit(allocation);
}

void BatchScheduler::onWorkers(const std::map<state::WorkerId, BatchWorker>& workers)
{
    for (const auto& [id, worker] : workers) {
        if (worker.draining)
            m_drainingIncarnations[id] = worker.incarnation;
        sessionFor(worker).update(worker, true);
    }
    for (auto& [id, session] : m_sessions) {
        if (!workers.contains(id))
            session->setListed(false);
    }
    std::erase_if(
        m_sessions, [](const auto& entry) { return !entry.second->listed() && entry.second->allocations().empty(); });
    requestPlan();
}

BatchScheduler::GroupKey BatchScheduler::groupOf(const BatchTaskId& task, std::int64_t run) const
{
    const BatchJobEntry* entry = m_table.find(task.job);
    bool gang = entry && entry->contains(task) && entry->job().steps[static_cast<std::size_t>(task.step)].gang;
    return { task.job, task.occurrence, task.step, gang ? -1 : task.index, run };
}

void BatchScheduler::stopObsoleteRuns(const RunOverview& overview) const
{
    for (const RunOverview::Run& run : overview.runs()) {
        const auto& [task, number] = *run.key;
        if (!run.entry)
            run.session->stop(*run.key, { .reason = StopReason::JobUnknown });
        else if (run.entry->phase() == BatchJobEntry::Phase::Cancelled)
            run.session->stop(*run.key, { .reason = StopReason::JobCancelled });
        else if (run.entry->phase() == BatchJobEntry::Phase::Failed)
            run.session->stop(*run.key, { .reason = StopReason::JobFailed });
        else if (run.entry->task(task).phase == TaskPhase::Done && !m_doneRuns.contains(groupOf(task, number)))
            run.session->stop(*run.key, { .reason = StopReason::Superseded });
    }
}

bool BatchScheduler::gangIncomplete(
    const RunOverview& overview, const RunOverview::Group& gang, state::MonotonicTime now) const
{
    const RunOverview::Run& first = overview.runs()[gang.runs.front()];
    if (m_doneRuns.contains(groupOf(first.key->first, first.key->second)))
        return false;
    if (static_cast<int>(gang.runs.size()) != first.step().taskCount)
        return true;
    bool starting = false;
    state::MonotonicTime since = state::MonotonicTime::max();
    for (std::size_t position : gang.runs) {
        const Allocation& allocation = *overview.runs()[position].allocation;
        if (allocation.phase == Allocation::Phase::Stopping || allocation.phase == Allocation::Phase::StopAcknowledged)
            return true;
        if (allocation.phase != Allocation::Phase::Claiming)
            since = std::min(since, allocation.since);
        starting = starting || allocation.phase == Allocation::Phase::Starting
            || (allocation.phase == Allocation::Phase::Uncertain && !allocation.inherited);
    }
    return starting && since != state::MonotonicTime::max() && now - since > m_options.gangStartTimeout;
}

void BatchScheduler::stopIncompleteGangs(const RunOverview& overview)
{
    state::MonotonicTime now = m_hooks.clock();
    for (const RunOverview::Group& group : overview.groups()) {
        if (!group.gang || !gangIncomplete(overview, group, now))
            continue;
        for (std::size_t position : group.runs) {
            const RunOverview::Run& run = overview.runs()[position];
            run.session->stop(*run.key, { .reason = StopReason::GangIncomplete });
        }
    }
}

void BatchScheduler::claim(const BatchUnit& unit, const std::vector<Place>& places)
{
    const BatchJobEntry& entry = *m_table.find(unit.job);
    TaskStates states;
    ClaimedTasks tasks;
    std::int64_t gangRun = entry.highestRun(unit.occurrence, unit.step) + 1;
    std::string gangCheckpoint;
    for (const Place& place : places) {
        BatchTaskId id { .job = unit.job, .occurrence = unit.occurrence, .step = unit.step, .index = place.index };
        gangCheckpoint = std::max(gangCheckpoint, entry.task(id).checkpoint);
    }
    for (const auto& [index, worker, backfilled] : places) {
        BatchTaskId id { .job = unit.job, .occurrence = unit.occurrence, .step = unit.step, .index = index };
        WorkerSession& session = *m_sessions.at(worker);
        BatchTaskState claimed = entry.task(id);
        if (mayCrashWorkers(claimed))
            m_isolationSince.erase({ unit.job, unit.occurrence, unit.step });
        claimed.phase = TaskPhase::Claimed;
        claimed.run = unit.gang ? gangRun : claimed.run + 1;
        claimed.worker = worker;
        claimed.workerIncarnation = session.incarnation();
        if (claimed.workerCrashes > 0)
            claimed.workerAddress = session.description().address;
        if (unit.gang)
            claimed.checkpoint = gangCheckpoint;
        session.reserve({
            .task = id,
            .run = claimed.run,
            .entry = &entry,
            .resources = unit.resources,
            .phase = Allocation::Phase::Claiming,
            .checkpoint = claimed.checkpoint,
            .since = m_hooks.clock(),
            .observedFromStart = claimed.checkpoint.empty(),
            .backfilled = backfilled,
            .suspect = claimed.workerCrashes > 0,
        });
        m_quarantine.probeStarted(worker, unit.job);
        m_claiming.insert(id);
        states.emplace_back(id, claimed);
        tasks.emplace_back(id, worker);
        long percent = std::lround(m_speed.relativeRunTime(worker, session.incarnation(), m_hooks.clock()) * 100);
        writeLog(LogLevel::Info, "scheduler", "claiming",
            { { "job", unit.job.value() }, { "task", id.toString() }, { "run", std::to_string(claimed.run) },
                { "worker", worker.value() }, { "priority", std::to_string(unit.priority) },
                { "guaranteed", unit.guaranteed ? "true" : "false" }, { "backfilled", backfilled ? "true" : "false" },
                { "run_time_percent", std::to_string(percent) } });
    }
    m_hooks.storeTasks(std::move(states), [this, tasks = std::move(tasks), alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            startClaimed(tasks);
    });
}

void BatchScheduler::startClaimed(const ClaimedTasks& tasks)
{
    for (const auto& [id, worker] : tasks)
        m_claiming.erase(id);
    const BatchJobEntry& entry = *m_table.find(tasks.front().first.job);
    ClaimedTasks due;
    for (const auto& [id, worker] : tasks) {
        if (entry.finished() || m_completing.contains(id))
            cancelReservation(worker, { id, entry.task(id).run });
        else
            due.emplace_back(id, worker);
    }
    if (due.empty()) {
        requestPlan();
        return;
    }
    std::vector<StartDecision> decisions = checkStarts(due);
    const BatchTaskId& first = due.front().first;
    if (std::ranges::find(decisions, StartDecision::Start) != decisions.end())
        m_aging.recordStart({ first.job, first.occurrence, first.step },
            entry.job().steps[static_cast<std::size_t>(first.step)].runTimeEstimate, m_hooks.clock());
    TaskStates released;
    for (std::size_t index = 0; index < due.size(); ++index) {
        const auto& [id, worker] = due[index];
        if (decisions[index] == StartDecision::Start)
            startTask(entry, id, worker);
        else
            released.emplace_back(id, releaseClaim(entry, id, worker, decisions[index]));
    }
    // In one batch, so that a new leader finds all members of a gang claimed or none.
    if (!released.empty())
        m_hooks.storeTasks(std::move(released), [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                requestPlan();
        });
    requestPlan();
}

std::vector<StartDecision> BatchScheduler::checkStarts(const ClaimedTasks& tasks) const
{
    if (!m_hooks.directoryCurrent())
        return std::vector(tasks.size(), StartDecision::StaleDirectory);
    if (!m_hooks.evacuationsCurrent())
        return std::vector(tasks.size(), StartDecision::StaleEvacuations);
    const BatchTaskId& first = tasks.front().first;
    const BatchStep& step = m_table.find(first.job)->job().steps[static_cast<std::size_t>(first.step)];
    std::vector<DueStart> starts;
    std::map<state::WorkerId, StartCapacity> workers;
    for (const auto& [id, worker] : tasks) {
        DueStart start { .worker = worker, .resources = step.resources };
        if (auto found = m_sessions.find(worker); found != m_sessions.end()) {
            auto allocation = found->second->allocations().find({ id, m_table.find(id.job)->task(id).run });
            start.withdrawn = allocation != found->second->allocations().end() && allocation->second.withdrawn;
            workers[worker] = {
                .available = found->second->reachable(),
                .evacuated = found->second->evacuated(),
                .free = found->second->freeCapacity(),
            };
        }
        starts.push_back(start);
    }
    return decideStarts(starts, std::move(workers), step.gang);
}

void BatchScheduler::startTask(const BatchJobEntry& entry, const BatchTaskId& id, const state::WorkerId& worker)
{
    m_metrics.increment("lentilsaddle_batch_starts_total");
    if (auto ready = m_readySince.find({ id.job, id.occurrence, id.step }); ready != m_readySince.end())
        m_metrics.observe("lentilsaddle_batch_start_wait_seconds", m_hooks.clock() - ready->second,
            { { "priority", std::to_string(entry.job().queue.priority) } });
    m_sessions.at(worker)->start({ id, entry.task(id).run }, entry.job().payload);
}

BatchTaskState BatchScheduler::releaseClaim(
    const BatchJobEntry& entry, const BatchTaskId& id, const state::WorkerId& worker, StartDecision reason)
{
    BatchTaskState queued = entry.task(id);
    queued.phase = TaskPhase::Queued;
    cancelReservation(worker, { id, queued.run });
    m_quarantine.probeAbandoned(worker, id.job);
    m_metrics.increment("lentilsaddle_batch_claims_released_total", { { "reason", startDecisionName(reason) } });
    writeLog(LogLevel::Info, "scheduler", "claim released before its start",
        { { "job", id.job.value() }, { "task", id.toString() }, { "run", std::to_string(queued.run) },
            { "worker", worker.value() }, { "reason", startDecisionName(reason) } });
    return queued;
}

void BatchScheduler::cancelReservation(const state::WorkerId& worker, const WorkerSession::AllocationKey& key)
{
    if (auto found = m_sessions.find(worker); found != m_sessions.end())
        found->second->cancelReservation(key);
}

void BatchScheduler::requestPlan()
{
    if (m_planRequested)
        return;
    m_planRequested = true;
    state::MonotonicTime now = m_hooks.clock();
    auto since = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastPlan);
    std::chrono::microseconds interval
        = std::max<std::chrono::microseconds>(m_options.planInterval, m_planDuration * m_options.planIdleFactor);
    auto delay = std::max(std::chrono::microseconds(0), interval - since);
    m_planDue = now + delay;
    m_loop.startTimer(delay, [this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        m_planRequested = false;
        plan();
    });
}

void BatchScheduler::refresh()
{
    m_loop.startTimer(m_options.planRefreshInterval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            refresh();
    });
    for (auto& [id, session] : m_sessions) {
        session->checkLease();
        session->resumeObservation();
    }
    removeEndedJobs();
    requestPlan();
}

void BatchScheduler::removeEndedJobs()
{
    auto ended = [this](const state::JobId& job) {
        const BatchJobEntry* entry = m_table.find(job);
        return !entry || entry->finished();
    };
    m_aging.removeJobs(ended);
    std::erase_if(m_readySince, [&](const auto& ready) { return ended(std::get<state::JobId>(ready.first)); });
    std::erase_if(m_failedOn, [&](const auto& failed) { return ended(std::get<state::JobId>(failed.first)); });
}

void BatchScheduler::plan()
{
    state::MonotonicTime begin = m_hooks.clock();
    recordLag(begin);
    planRound();
    m_lastPlan = m_hooks.clock();
    m_planDuration = std::chrono::duration_cast<std::chrono::microseconds>(m_lastPlan - begin);
    m_metrics.observe("lentilsaddle_batch_plan_seconds", m_lastPlan - begin);
}

void BatchScheduler::recordLag(state::MonotonicTime begin)
{
    m_metrics.observe(
        "lentilsaddle_batch_plan_lag_seconds", std::max(begin - m_planDue, state::MonotonicTime::duration(0)));
    std::optional<std::chrono::milliseconds> lag = m_lag.record(m_planDue, begin);
    if (!lag)
        return;
    writeLog(LogLevel::Warning, "scheduler", "leader is behind",
        { { "term", std::to_string(m_term) }, { "lag_ms", std::to_string(lag->count()) },
            { "plan_us", std::to_string(m_planDuration.count()) }, { "workers", std::to_string(m_sessions.size()) } });
}

void BatchScheduler::planRound()
{
    if (!m_hooks.authorised())
        return;
    checkExpiredWorkers();
    storeLateCrashes();
    storeLateFailures();
    judgeSuspects();
    RunOverview overview(m_sessions, m_table);
    stopObsoleteRuns(overview);
    stopIncompleteGangs(overview);
    if (waitForStreams())
        return;
    PlanInput input = makeInput(overview);
    if (input.units.empty())
        return;
    probeWorkers();
    BatchPlanner planner({}, std::move(input));
    BatchPlan result = planner.plan();
    m_holds = std::move(result.holds);
    recordDelays(planner, result);
    executePlan(planner, overview, result);
}

bool BatchScheduler::waitForStreams()
{
    bool directoryCurrent = m_hooks.directoryCurrent();
    bool evacuationsCurrent = m_hooks.evacuationsCurrent();
    bool wait = !directoryCurrent || !evacuationsCurrent;
    if (wait != m_waitingForStreams)
        writeLog(LogLevel::Info, "scheduler",
            wait ? "nothing starts until the streams have been read" : "streams are current again",
            { { "term", std::to_string(m_term) }, { "directory_current", directoryCurrent ? "true" : "false" },
                { "evacuations_current", evacuationsCurrent ? "true" : "false" } });
    m_waitingForStreams = wait;
    return wait;
}

void BatchScheduler::onStreamRead()
{
    if (m_waitingForStreams)
        requestPlan();
}

void BatchScheduler::probeWorkers()
{
    state::MonotonicTime now = m_hooks.clock();
    for (auto& [id, session] : m_sessions) {
        if (session->needsObservation(now))
            session->observeNow();
    }
}

void BatchScheduler::recordDelays(const BatchPlanner& planner, const BatchPlan& plan)
{
    state::MonotonicTime now = m_hooks.clock();
    for (std::size_t index : plan.delayed) {
        const BatchUnit& unit = planner.units()[index];
        Delay& delay
            = m_delays.try_emplace({ unit.job, unit.occurrence, unit.step }, Delay { .since = now }).first->second;
        delay.lastSeen = now;
    }
    // An idle worker is not usable for a moment while it is observed again.
    std::erase_if(m_delays, [&](const auto& delay) { return now - delay.second.lastSeen > m_options.delayMemory; });
}

void BatchScheduler::executePlan(const BatchPlanner& planner, const RunOverview& overview, const BatchPlan& plan)
{
    m_aging.recordSelection(planner.units(), plan.preferred, m_hooks.clock());
    for (const Preemption& preemption : plan.preemptions) {
        StopCause cause { .reason = preemption.backfilled ? StopReason::BackfillEnded : StopReason::Preempted,
            .beneficiary = planner.units()[preemption.unit].job };
        m_metrics.increment("lentilsaddle_batch_preemptions_total");
        for (std::size_t position : overview.groups()[preemption.group].runs) {
            const RunOverview::Run& run = overview.runs()[position];
            run.session->stop(*run.key, cause);
        }
    }
    // Gangs are claimed in one batch, so that a new leader sees all members or none.
    std::map<std::size_t, std::vector<Place>> places;
    for (const Placement& placement : plan.placements)
        places[placement.unit].push_back({ .index = placement.index,
            .worker = planner.workers()[placement.worker].worker.id,
            .backfilled = placement.backfilled });
    for (const auto& [unit, unitPlaces] : places)
        claim(planner.units()[unit], unitPlaces);
}

} // namespace lentilsaddle::coordination::batch
