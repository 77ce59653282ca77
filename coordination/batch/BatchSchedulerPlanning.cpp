#include "coordination/batch/BatchScheduler.h"

#include "coordination/batch/AllocationProgress.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using state::batch::BatchStep;
using state::batch::BatchTaskId;
using state::batch::BatchTaskState;
using std::chrono::milliseconds;

namespace {

    // Late results keep some value up to this multiple of the runtime objective.
    constexpr int lateFactor = 3;

    // Critical path of the estimates from the start of each step to the end of the job.
    std::vector<milliseconds> remainingCriticalPaths(const BatchJob& job)
    {
        std::vector<milliseconds> criticalPaths(job.steps.size(), milliseconds(0));
        for (std::size_t step = job.steps.size(); step-- > 0;) {
            criticalPaths[step] += job.steps[step].runTimeEstimate;
            for (int predecessor : job.steps[step].predecessors) {
                auto index = static_cast<std::size_t>(predecessor);
                criticalPaths[index] = std::max(criticalPaths[index], criticalPaths[step]);
            }
        }
        return criticalPaths;
    }

    double coreSeconds(const BatchStep& step)
    {
        return weightedCores(step.resources) * static_cast<double>(step.taskCount)
            * std::chrono::duration<double>(step.runTimeEstimate).count();
    }

} // namespace

PlanInput BatchScheduler::makeInput(const RunOverview& overview)
{
    PlanInput input { .now = m_hooks.clock() };
    addUnits(input, overview);
    if (input.units.empty())
        return input;
    m_aging.recordWaiting(input.units, input.now);
    input.aging = m_aging;
    addGroups(input, overview);
    addWorkers(input, overview);
    markGuaranteed(input, overview);
    input.holds = m_holds;
    input.preemptionAllowed = preemptionAllowed(input.now);
    return input;
}

void BatchScheduler::addUnits(PlanInput& input, const RunOverview& overview)
{
    state::WallTime wallNow = m_hooks.wallClock();
    for (const state::JobId& job : m_table.activeJobs()) {
        const BatchJobEntry& entry = *m_table.find(job);
        std::vector<milliseconds> criticalPaths;
        int newTasks = state::batch::maximumOpenTasks - static_cast<int>(entry.openTaskCount());
        std::size_t steps = input.units.size() + state::batch::maximumOfferedSteps;
        for (int occurrence = 0; occurrence < entry.job().occurrences; ++occurrence) {
            bool due = !entry.job().hasDueTime() || entry.job().dueTime(occurrence) - m_options.earlyStart <= wallNow;
            if (!due || input.units.size() >= steps)
                break;
            for (int step = 0; step < static_cast<int>(entry.job().steps.size()); ++step) {
                if (input.units.size() >= steps || entry.queuedTasks(occurrence, step) == 0
                    || !entry.predecessorsDone(occurrence, step))
                    continue;
                if (criticalPaths.empty())
                    criticalPaths = remainingCriticalPaths(entry.job());
                addStep(input, entry, occurrence, step, criticalPaths, newTasks);
            }
        }
    }
    excludeAllocatedTasks(input, overview);
}

void BatchScheduler::excludeAllocatedTasks(PlanInput& input, const RunOverview& overview) const
{
    std::unordered_map<const BatchJobEntry*, std::vector<BatchUnit*>> units;
    for (BatchUnit& unit : input.units)
        units[m_table.find(unit.job)].push_back(&unit);
    for (const RunOverview::Run& run : overview.runs()) {
        auto found = units.find(run.entry);
        if (found == units.end())
            continue;
        const BatchTaskId& task = run.key->first;
        for (BatchUnit* unit : found->second) {
            if (unit->occurrence != task.occurrence || unit->step != task.step)
                continue;
            // A task whose earlier run may still hold capacity somewhere cannot start again.
            if (unit->gang)
                unit->indices.clear();
            else
                std::erase(unit->indices, task.index);
            if (unit->maximumPerWorker > 0)
                ++unit->runningOnWorker[run.session->description().id];
        }
    }
    std::erase_if(input.units, [](const BatchUnit& unit) { return unit.indices.empty(); });
}

bool BatchScheduler::isHeld(const BatchTaskId& task) const
{
    return isBeingStored(task) || m_suspects.contains(task);
}

bool BatchScheduler::isBeingStored(const BatchTaskId& task) const
{
    return m_claiming.contains(task) || m_completing.contains(task);
}

void BatchScheduler::addStep(PlanInput& input, const BatchJobEntry& entry, int occurrence, int step,
    const std::vector<milliseconds>& criticalPaths, int& newTasks)
{
    const BatchJob& job = entry.job();
    const BatchStep& description = job.steps[static_cast<std::size_t>(step)];
    BatchUnit unit {
        .job = job.id,
        .account = job.account,
        .occurrence = occurrence,
        .step = step,
        .resources = description.resources,
        .gang = description.gang,
        .sameRack = description.sameRack,
        .requiredLabel = description.requiredLabel,
        .preferredRack = description.preferredRack,
        .maximumPerWorker = description.maximumPerWorker,
        .service = job.queue.service,
        .priority = job.queue.priority,
        .estimate = criticalPaths[static_cast<std::size_t>(step)],
        .runTime = description.runTimeEstimate,
    };
    std::vector<int> suspects;
    bool anyHeld = !m_claiming.empty() || !m_completing.empty() || !m_suspects.empty();
    int offered = 0;
    for (int index = 0; index < description.taskCount; ++index) {
        const BatchTaskState* open = entry.openTask(occurrence, step, index);
        if (!open && offered >= newTasks)
            continue;
        bool queued = entry.taskPhase(occurrence, step, index) == BatchTaskState::Phase::Queued;
        bool held
            = queued && anyHeld && isHeld({ .job = job.id, .occurrence = occurrence, .step = step, .index = index });
        if (!queued || held)
            continue;
        offered += open ? 0 : 1;
        bool suspect = open && mayCrashWorkers(*open);
        (suspect ? suspects : unit.indices).push_back(index);
    }
    if (unit.indices.empty() && suspects.empty())
        return;
    if (unit.gang && static_cast<int>(unit.indices.size() + suspects.size()) != description.taskCount)
        return;
    newTasks -= offered;
    StepKey key(job.id, occurrence, step);
    unit.readySince = m_readySince.try_emplace(key, input.now).first->second;
    if (auto failed = m_failedOn.find(key); failed != m_failedOn.end())
        unit.avoidedWorkers = failed->second;
    if (auto delay = m_delays.find(key); delay != m_delays.end())
        unit.delayedSince = delay->second.since;

    state::WallTime begin = job.hasDueTime() ? job.dueTime(occurrence) : job.submissionTime;
    auto age = std::chrono::duration_cast<milliseconds>(m_hooks.wallClock() - begin);
    milliseconds longest = *std::max_element(criticalPaths.begin(), criticalPaths.end());
    auto objective = std::chrono::duration_cast<milliseconds>(longest * job.queue.stretch) + job.queue.targetRuntime;
    unit.deadline = input.now - age + objective;
    unit.hardDeadline = input.now - age + lateFactor * objective;
    double work = 0;
    for (const BatchStep& other : job.steps)
        work += coreSeconds(other);
    unit.valueDensity = work > 0 ? 1 / work : 1;
    addStepUnits(input, std::move(unit), suspects);
}

void BatchScheduler::addStepUnits(PlanInput& input, BatchUnit unit, const std::vector<int>& suspects)
{
    if (suspects.empty()) {
        input.units.push_back(std::move(unit));
        return;
    }
    state::MonotonicTime since
        = m_isolationSince.try_emplace({ unit.job, unit.occurrence, unit.step }, input.now).first->second;
    BatchUnit isolated = unit;
    isolated.indices = suspects;
    isolated.isolatedStart = true;
    isolated.isolationWaitOver = input.now - since >= m_options.isolationWait;
    // Units of one step that share a worker would each count only their own tasks towards the limit per worker.
    bool merge = unit.gang || (isolated.isolationWaitOver && unit.maximumPerWorker > 0);
    if (merge) {
        isolated.indices.insert(isolated.indices.end(), unit.indices.begin(), unit.indices.end());
        std::sort(isolated.indices.begin(), isolated.indices.end());
    } else if (!unit.indices.empty()) {
        input.units.push_back(std::move(unit));
    }
    input.units.push_back(std::move(isolated));
}

void BatchScheduler::addGroups(PlanInput& input, const RunOverview& overview) const
{
    input.groups.reserve(overview.groups().size());
    for (const RunOverview::Group& group : overview.groups()) {
        RunningGroup running;
        for (std::size_t position : group.runs) {
            const RunOverview::Run& run = overview.runs()[position];
            if (!run.entry)
                continue;
            running.account = run.entry->job().account;
            running.priority = run.entry->job().queue.priority;
            running.backfilled = running.backfilled || run.allocation->backfilled;
            // A claimed run is withdrawn without a loss before it starts.
            if (run.allocation->phase == Allocation::Phase::Claiming)
                continue;
            running.loss += workLostByStop(progressOf(*run.allocation), input.now);
        }
        input.groups.push_back(std::move(running));
    }
}

void BatchScheduler::addWorkers(PlanInput& input, const RunOverview& overview)
{
    updateSpeeds();
    auto next = overview.runs().begin();
    for (const auto& [id, session] : m_sessions) {
        WorkerView view;
        bool occupied = false;
        for (; next != overview.runs().end() && next->session == session.get(); ++next) {
            const Allocation& allocation = *next->allocation;
            bool stopping = allocation.withdrawn || allocation.phase == Allocation::Phase::Stopping
                || allocation.phase == Allocation::Phase::StopAcknowledged;
            RunTimeEvidence evidence = runTimeEvidence(allocation, input.now);
            view.runs.push_back({ .group = next->group,
                .resources = allocation.resources,
                .stopping = stopping,
                .expectedEnd = input.now + (stopping ? m_options.stopGrace : remainingRunTime(evidence)),
                .overdue = isOverdue(evidence),
                .backfilled = allocation.backfilled });
            occupied = true;
            if (allocation.listed)
                continue;
            view.startPending = true;
            if (next->entry && mayCrashWorkers(next->entry->task(allocation.task)))
                view.isolatedStartPending = true;
        }
        // The run of a probe holds the worker from its reservation on, so no event needs to tell that it is gone.
        if (!occupied)
            m_quarantine.probeVanished(id);
        if (!session->usable(input.now))
            continue;
        auto quarantine = m_quarantine.state(id, input.now);
        bool probe = quarantine == WorkerQuarantine::State::Probing && !occupied;
        if (quarantine != WorkerQuarantine::State::Available && !probe)
            continue;
        view.worker = session->description();
        view.free = session->freeCapacity();
        view.freeAfterStops = view.free;
        for (const WorkerView::Run& run : view.runs) {
            if (run.stopping)
                view.freeAfterStops += run.resources;
        }
        view.cold = session->cold(input.now);
        view.relativeRunTime = m_speed.relativeRunTime(id, session->incarnation(), input.now);
        view.slowness = m_speed.stragglerSlowness(id, input.now);
        input.workers.push_back(std::move(view));
    }
    auto count = [&](auto&& matches) { return static_cast<double>(std::ranges::count_if(input.workers, matches)); };
    PlannerOptions options;
    m_metrics.setGauge("lentilsaddle_batch_slow_workers",
        count([&](const WorkerView& view) { return view.relativeRunTime > options.slowRunTime; }));
    m_metrics.setGauge("lentilsaddle_batch_fast_workers",
        count([&](const WorkerView& view) { return view.relativeRunTime <= options.fastRunTime; }));
}

bool BatchScheduler::preemptionAllowed(state::MonotonicTime now)
{
    m_workersKnown = m_workersKnown || now - m_termStart >= m_options.takeoverSettleTime
        || std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto& entry) {
               const WorkerSession& session = *entry.second;
               return !session.listed() || session.description().draining || session.reachable();
           });
    return m_workersKnown;
}

void BatchScheduler::markGuaranteed(PlanInput& input, const RunOverview& overview) const
{
    std::map<state::AccountId, std::int64_t> remaining;
    auto consumeGuarantee = [&](const state::AccountId& account, std::int64_t accelerators) {
        auto found = remaining.try_emplace(account, -1).first;
        if (found->second < 0)
            found->second = m_hooks.guarantee(account);
        if (found->second < accelerators)
            return false;
        found->second -= accelerators;
        return true;
    };
    for (std::size_t index = 0; index < input.groups.size(); ++index) {
        RunningGroup& group = input.groups[index];
        const auto& runs = overview.groups()[index].runs;
        const RunOverview::Run& first = overview.runs()[runs.front()];
        if (group.priority != 0 || !first.entry)
            continue;
        std::int64_t perRun = first.step().resources.accelerators;
        group.guaranteed = consumeGuarantee(group.account, perRun * static_cast<std::int64_t>(runs.size()));
    }
    std::vector<BatchUnit*> urgent;
    for (BatchUnit& unit : input.units) {
        if (unit.priority == 0)
            urgent.push_back(&unit);
    }
    std::sort(urgent.begin(), urgent.end(),
        [](const BatchUnit* a, const BatchUnit* b) { return a->readySince < b->readySince; });
    for (BatchUnit* unit : urgent) {
        std::int64_t accelerators = unit->resources.accelerators * static_cast<std::int64_t>(unit->indices.size());
        unit->guaranteed = consumeGuarantee(unit->account, accelerators);
    }
}

} // namespace lentilsaddle::coordination::batch
