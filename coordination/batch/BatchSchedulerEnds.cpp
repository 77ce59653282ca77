#include "coordination/batch/BatchScheduler.h"

#include "coordination/batch/AllocationProgress.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJobEntry;
using state::batch::BatchStep;
using state::batch::BatchTaskId;
using state::batch::BatchTaskState;
using transport::LogLevel;
using transport::writeLog;
using TaskPhase = BatchTaskState::Phase;

namespace {

    // Work between two observations of a task's rate. Progress is reported in hundredths.
    constexpr int minimumRatedPercent = 10;

    // Time between two judgements whether the workers differ in speed.
    constexpr std::chrono::milliseconds spreadInterval { 250 };

    const char* endReasonName(EndedTask::Reason reason)
    {
        switch (reason) {
        case EndedTask::Reason::Done:
            return "done";
        case EndedTask::Reason::Failed:
            return "failed";
        case EndedTask::Reason::Stopped:
            return "stopped";
        case EndedTask::Reason::LeaseLapsed:
            return "lease_lapsed";
        case EndedTask::Reason::GangBroken:
            return "gang_broken";
        case EndedTask::Reason::GangIncomplete:
            return "gang_incomplete";
        }
        return "unknown";
    }

} // namespace

BatchScheduler::TaskStates BatchScheduler::statesAfterEnd(const state::WorkerId& worker, const EndedTask& ended) const
{
    const BatchJobEntry* entry = m_table.find(ended.task.job);
    if (!entry || !entry->contains(ended.task))
        return {};
    const BatchStep& step = entry->job().steps[static_cast<std::size_t>(ended.task.step)];
    BatchTaskState current = entry->task(ended.task);
    if (current.phase == TaskPhase::Done)
        return {};
    if (ended.reason == EndedTask::Reason::Done) {
        TaskStates states;
        int first = step.gang ? 0 : ended.task.index;
        int last = step.gang ? step.taskCount - 1 : ended.task.index;
        for (int index = first; index <= last; ++index) {
            BatchTaskId member = ended.task;
            member.index = index;
            BatchTaskState done = entry->task(member);
            done.phase = TaskPhase::Done;
            done.checkpoint.clear();
            states.emplace_back(member, done);
        }
        return states;
    }
    bool claimedHere = current.phase == TaskPhase::Claimed && current.worker == worker && current.run == ended.run;
    if (!claimedHere || entry->finished() || m_completing.contains(ended.task))
        return {};
    current.phase = TaskPhase::Queued;
    if (!ended.checkpoint.empty())
        current.checkpoint = ended.checkpoint;
    if (ended.reason == EndedTask::Reason::Failed)
        current.addFailedRun(ended.run);
    return { { ended.task, current } };
}

void BatchScheduler::updateQuarantine(const state::WorkerId& worker, const EndedTask& ended)
{
    if (ended.reason == EndedTask::Reason::Done) {
        m_quarantine.startSucceeded(worker);
        return;
    }
    if (ended.reason != EndedTask::Reason::Failed) {
        m_quarantine.probeAbandoned(worker, ended.task.job);
        return;
    }
    m_failedOn[{ ended.task.job, ended.task.occurrence, ended.task.step }].insert(worker);
    if (m_quarantine.startFailed(worker, ended.task.job, m_hooks.clock())) {
        m_metrics.increment("lentilsaddle_batch_workers_quarantined_total");
        writeLog(LogLevel::Warning, "scheduler", "worker quarantined", { { "worker", worker.value() } });
    }
}

void BatchScheduler::updateSpeeds()
{
    state::MonotonicTime now = m_hooks.clock();
    if (!m_options.learnRunTimes || now - m_spreadJudged < spreadInterval)
        return;
    m_spreadJudged = now;
    bool differed = m_speed.speedsDiffer();
    m_speed.judgeSpread(now);
    if (m_speed.speedsDiffer() != differed)
        writeLog(LogLevel::Info, "scheduler",
            differed ? "workers no longer differ in speed" : "workers differ in speed",
            { { "term", std::to_string(m_term) } });
    // Without a difference there is nothing that a new leader would have to know.
    if (!m_speed.speedsDiffer() || now - m_speedsStored < m_options.speedStoreInterval)
        return;
    state::batch::WorkerSpeedSummary summary = m_speed.summary(m_options.maximumStoredSpeeds, now);
    if (summary == m_storedSpeeds)
        return;
    m_speedsStored = now;
    m_storedSpeeds = summary;
    m_hooks.storeSpeeds(summary);
}

WorkerSpeedSample BatchScheduler::speedSample(const state::WorkerId& worker, const Allocation& allocation) const
{
    const state::batch::BatchJob& job = m_table.find(allocation.task.job)->job();
    const BatchStep& step = job.steps[static_cast<std::size_t>(allocation.task.step)];
    const WorkerSession& session = *m_sessions.at(worker);
    bool far = !step.preferredRack.empty() && step.preferredRack != session.description().rack;
    std::int64_t conditions = step.gang ? allocation.run : (far ? 1 : 0);
    return {
        .worker = worker,
        .incarnation = session.incarnation(),
        .siblings = { allocation.task.job, allocation.task.occurrence, allocation.task.step, conditions },
        .siblingCount = step.taskCount,
        .queue = job.queue.name,
        .elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_hooks.clock() - allocation.since),
        .percent = allocation.percent,
        .cold = session.cold(allocation.since),
        .estimate = step.runTimeEstimate,
    };
}

void BatchScheduler::recordSpeed(const state::WorkerId& worker, const Allocation& allocation)
{
    const BatchJobEntry* entry = m_table.find(allocation.task.job);
    if (!entry || !entry->contains(allocation.task) || !allocation.observedFromStart)
        return;
    const BatchStep& step = entry->job().steps[static_cast<std::size_t>(allocation.task.step)];
    // The members of a gang end together, so their run time reflects only the slowest one.
    if (step.gang && step.taskCount > 1)
        return;
    recordRate(worker, allocation, { .percent = 100 });
}

void BatchScheduler::onBegun(const state::JobId& job) const
{
    const BatchJobEntry* entry = m_table.find(job);
    if (entry && !entry->started() && !entry->finished())
        m_hooks.storeStart(job);
}

void BatchScheduler::recordRate(const state::WorkerId& worker, const Allocation& allocation, const Progress& progress)
{
    if (!m_options.learnRunTimes)
        return;
    WorkerSpeedSample sample = speedSample(worker, allocation);
    sample.percent = progress.percent - allocation.ratedPercent;
    sample.atLeast = progress.atLeast;
    if (allocation.ratedPercent > 0) {
        sample.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_hooks.clock() - allocation.ratedAt);
        sample.cold = m_sessions.at(worker)->cold(allocation.ratedAt);
    }
    m_speed.recordRate(sample, m_hooks.clock());
}

void BatchScheduler::onRunning(const state::WorkerId& worker, Allocation& allocation)
{
    const BatchJobEntry* entry = m_table.find(allocation.task.job);
    if (!entry || !entry->contains(allocation.task) || !allocation.observedFromStart)
        return;
    m_speed.recordProgress(speedSample(worker, allocation), m_hooks.clock());
    if (allocation.percent - allocation.ratedPercent < minimumRatedPercent)
        return;
    // Only a member of a gang goes on after its share is done, because it waits for the others.
    const BatchStep& step = entry->job().steps[static_cast<std::size_t>(allocation.task.step)];
    bool waiting = allocation.percent >= 100;
    if (waiting && !step.gang)
        return;
    recordRate(worker, allocation, { .percent = allocation.percent, .atLeast = waiting });
    allocation.ratedPercent = allocation.percent;
    allocation.ratedAt = m_hooks.clock();
}

void BatchScheduler::onStopping(const Allocation&, const StopCause& cause, double lostWork)
{
    countStoppedRun(stopReasonName(cause.reason), lostWork);
}

void BatchScheduler::countStoppedRun(const char* reason, double lostWork)
{
    m_metrics.increment("lentilsaddle_batch_runs_stopped_total", { { "reason", reason } });
    m_metrics.increment("lentilsaddle_batch_lost_core_seconds_total", { { "reason", reason } }, lostWork);
}

void BatchScheduler::countInterruptedRun(const Allocation& allocation, const char* reason)
{
    // A run that was being stopped was counted then.
    bool stopping
        = allocation.phase == Allocation::Phase::Stopping || allocation.phase == Allocation::Phase::StopAcknowledged;
    if (!stopping)
        countStoppedRun(reason, unsavedWork(progressOf(allocation), m_hooks.clock()));
}

void BatchScheduler::onEnded(const state::WorkerId& worker, const EndedTask& ended, const Allocation* allocation)
{
    writeLog(LogLevel::Info, "scheduler", "run ended",
        { { "job", ended.task.job.value() }, { "task", ended.task.toString() }, { "run", std::to_string(ended.run) },
            { "worker", worker.value() }, { "how", endReasonName(ended.reason) },
            { "known", allocation ? "true" : "false" } });
    m_metrics.increment("lentilsaddle_batch_runs_ended_total", { { "how", endReasonName(ended.reason) } });
    onBegun(ended.task.job);
    updateQuarantine(worker, ended);
    bool interrupted = ended.reason == EndedTask::Reason::LeaseLapsed || ended.reason == EndedTask::Reason::GangBroken
        || ended.reason == EndedTask::Reason::GangIncomplete;
    if (allocation && interrupted)
        countInterruptedRun(*allocation, endReasonName(ended.reason));
    if (allocation && ended.reason == EndedTask::Reason::Done)
        recordSpeed(worker, *allocation);
    std::int64_t incarnation = m_sessions.at(worker)->incarnation();
    PendingEnds& pending = m_pendingEnds[{ worker, incarnation }];
    pending.highest = std::max(pending.highest, ended.number);
    // The end of another member, with which the whole gang is done, is being stored.
    bool completing = m_completing.contains(ended.task);
    TaskStates states = completing ? TaskStates() : statesAfterEnd(worker, ended);
    if (ended.reason == EndedTask::Reason::Done)
        m_doneRuns.insert(groupOf(ended.task, ended.run));
    if (states.empty() && !completing) {
        // A run that was taken for lost may have failed all the same.
        if (ended.reason == EndedTask::Reason::Failed)
            m_lateFailures.push_back({ .task = ended.task, .run = ended.run });
        if (pending.stores == 0)
            m_sessions.at(worker)->acknowledge(incarnation, pending.highest);
        return;
    }
    ++pending.stores;
    storeEnd(worker, incarnation, std::move(states));
}

void BatchScheduler::storeEnd(const state::WorkerId& worker, std::int64_t incarnation, TaskStates states)
{
    std::vector<BatchTaskId> completing;
    for (const auto& [task, taskState] : states) {
        if (taskState.phase == TaskPhase::Done)
            completing.push_back(task);
    }
    m_completing.insert(completing.begin(), completing.end());
    // Without states of its own, the end is acknowledged after everything that was queued before it is stored.
    m_hooks.storeTasks(std::move(states),
        [this, worker, incarnation, completing, listed = m_hooks.clock(), alive = std::weak_ptr(m_alive)] {
            if (alive.expired())
                return;
            for (const BatchTaskId& task : completing)
                m_completing.erase(task);
            m_metrics.observe("lentilsaddle_batch_end_store_seconds", m_hooks.clock() - listed);
            PendingEnds& stored = m_pendingEnds[{ worker, incarnation }];
            --stored.stores;
            auto session = m_sessions.find(worker);
            if (stored.stores == 0 && session != m_sessions.end())
                session->second->acknowledge(incarnation, stored.highest);
            requestPlan();
        });
}

std::optional<BatchTaskState> BatchScheduler::claimedState(
    const state::WorkerId& worker, const Allocation& allocation) const
{
    const BatchJobEntry* entry = m_table.find(allocation.task.job);
    if (!entry || !entry->contains(allocation.task) || entry->finished() || m_completing.contains(allocation.task))
        return std::nullopt;
    const BatchTaskState& current = entry->task(allocation.task);
    if (current.phase != TaskPhase::Claimed || current.worker != worker || current.run != allocation.run)
        return std::nullopt;
    return current;
}

void BatchScheduler::requeue(BatchTaskState& taskState, const Allocation& lost)
{
    taskState.phase = TaskPhase::Queued;
    if (!lost.checkpoint.empty())
        taskState.checkpoint = lost.checkpoint;
}

void BatchScheduler::onLost(const state::WorkerId& worker, const Allocation& lost, RunLoss loss)
{
    m_quarantine.probeAbandoned(worker, lost.task.job);
    m_metrics.increment("lentilsaddle_batch_runs_lost_total");
    if (lost.listed)
        countInterruptedRun(lost, runLossName(loss));
    std::optional<BatchTaskState> current = claimedState(worker, lost);
    if (crashedUnder(worker, current ? current->workerIncarnation : 0, loss)) {
        addCrashedRun(worker, lost);
        return;
    }
    if (!current)
        return;
    if (loss == RunLoss::LeaseExpired)
        addExpiredRun(worker, lost);
    requeue(*current, lost);
    writeLog(LogLevel::Info, "scheduler", "task requeued",
        { { "job", lost.task.job.value() }, { "task", lost.task.toString() }, { "run", std::to_string(lost.run) },
            { "worker", worker.value() }, { "cause", runLossName(loss) } });
    m_hooks.storeTasks({ { lost.task, *current } }, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            requestPlan();
    });
}

void BatchScheduler::onUnknownRun(const state::WorkerId& worker, const RunningTask& running)
{
    const BatchJobEntry* entry = m_table.find(running.task.job);
    WorkerSession& session = *m_sessions.at(worker);
    // A run of an unknown job may hold any amount.
    state::batch::Resources resources = session.description().capacity;
    if (entry && entry->contains(running.task))
        resources = entry->job().steps[static_cast<std::size_t>(running.task.step)].resources;
    session.stopUnknown(running, resources);
}

} // namespace lentilsaddle::coordination::batch
