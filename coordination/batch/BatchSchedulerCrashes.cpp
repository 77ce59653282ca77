#include "coordination/batch/BatchScheduler.h"

#include "transport/EventLoop.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJobEntry;
using state::batch::BatchTaskId;
using state::batch::BatchTaskState;
using transport::LogLevel;
using transport::writeLog;
using TaskPhase = BatchTaskState::Phase;

namespace {

    CrashedRun crashedRun(const Allocation& run)
    {
        using Stage = CrashedRun::Stage;
        Stage stage = run.startResolved ? Stage::Starting : Stage::Unconfirmed;
        if (run.inherited)
            stage = Stage::Inherited;
        if (run.listed)
            stage = Stage::Listed;
        return { .job = run.task.job, .stage = stage };
    }

} // namespace

bool BatchScheduler::crashedUnder(const state::WorkerId& worker, std::int64_t incarnation, RunLoss loss) const
{
    // A worker that shuts down as announced ends its runs without a fault of theirs.
    auto draining = m_drainingIncarnations.find(worker);
    if (draining != m_drainingIncarnations.end() && draining->second == incarnation)
        return false;
    switch (loss) {
    case RunLoss::WorkerReplaced:
    case RunLoss::WorkerRestarted:
        return true;
    case RunLoss::NotListed:
    case RunLoss::StaleRun:
        // The start had no response before the worker was restarted.
        return incarnationsDiffer(incarnation, m_sessions.at(worker)->incarnation());
    case RunLoss::NotSent:
    case RunLoss::Refused:
    case RunLoss::LeaseExpired:
        return false;
    }
    return false;
}

void BatchScheduler::addCrashedRun(const state::WorkerId& worker, const Allocation& lost)
{
    std::vector<Allocation>& runs = m_crashedRuns[worker];
    runs.push_back(lost);
    if (runs.size() > 1)
        return;
    // The session reports the other lost runs of the worker before it returns to the event loop.
    m_loop.startTimer(std::chrono::microseconds(0), [this, worker, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            onWorkerCrashed(worker);
    });
}

std::vector<bool> BatchScheduler::attributedRuns(
    const state::WorkerId& worker, const std::vector<Allocation>& runs) const
{
    std::vector<CrashedRun> crashedRuns;
    crashedRuns.reserve(runs.size());
    for (const Allocation& run : runs)
        crashedRuns.push_back(crashedRun(run));
    // A run whose start had no response is lost only after its stop, but it may have crashed the worker as well.
    if (auto session = m_sessions.find(worker); session != m_sessions.end()) {
        for (const auto& [key, allocation] : session->second->allocations()) {
            if (allocation.startOutstanding()
                && incarnationsDiffer(allocation.incarnation, session->second->incarnation()))
                crashedRuns.push_back(crashedRun(allocation));
        }
    }
    std::vector<bool> attributed = attributeCrash(crashedRuns);
    attributed.resize(runs.size());
    return attributed;
}

void BatchScheduler::countCrash(BatchTaskState& taskState, const Crash& crash)
{
    const auto& [worker, lost, attributed, since] = crash;
    recordCrash(taskState, crashedRun(lost).stage);
    bool suspected = attributed && recordAttribution(taskState);
    if (attributed)
        m_failedOn[{ lost.task.job, lost.task.occurrence, lost.task.step }].insert(worker);
    writeLog(LogLevel::Warning, "scheduler", "worker crashed under a task",
        { { "job", lost.task.job.value() }, { "task", lost.task.toString() }, { "run", std::to_string(lost.run) },
            { "worker", worker.value() }, { "crashes", std::to_string(taskState.workerCrashes) },
            { "doubtful_crashes", std::to_string(taskState.doubtfulCrashes) },
            { "attributed_crashes", std::to_string(taskState.attributedCrashes) },
            { "attributed", attributed ? "true" : "false" } });
    if (taskState.givenUp)
        logGivenUp(lost.task, taskState);
    else if (suspected)
        m_suspects[lost.task] = since;
}

void BatchScheduler::logGivenUp(const BatchTaskId& task, const BatchTaskState& taskState)
{
    m_metrics.increment("lentilsaddle_batch_tasks_given_up_total");
    writeLog(LogLevel::Warning, "scheduler", "task given up",
        { { "job", task.job.value() }, { "task", task.toString() },
            { "crashes", std::to_string(taskState.workerCrashes) } });
}

void BatchScheduler::judgeSuspects()
{
    TaskStates states;
    std::erase_if(m_suspects, [&](const auto& suspect) {
        const auto& [task, crash] = suspect;
        if (lateChangeObsolete(task))
            return true;
        if (m_restarts.coincides(crash)) {
            writeLog(LogLevel::Info, "scheduler", "crash has another cause, as other workers restarted too",
                { { "job", task.job.value() }, { "task", task.toString() } });
            return true;
        }
        if (m_hooks.clock() < m_restarts.settled(crash) || !mayStoreLateChange(task))
            return false;
        m_claiming.insert(task);
        BatchTaskState current = m_table.find(task.job)->task(task);
        current.givenUp = true;
        logGivenUp(task, current);
        states.emplace_back(task, std::move(current));
        return true;
    });
    storeLateStates(std::move(states));
}

void BatchScheduler::onRestarted(const state::WorkerId& worker, std::int64_t incarnation, bool startPending)
{
    auto draining = m_drainingIncarnations.find(worker);
    bool announced = draining != m_drainingIncarnations.end() && draining->second == incarnation;
    if (!startPending && !announced)
        m_restarts.add(m_hooks.clock());
}

void BatchScheduler::onWorkerCrashed(const state::WorkerId& worker)
{
    std::vector<Allocation> runs = std::move(m_crashedRuns.extract(worker).mapped());
    m_metrics.increment("lentilsaddle_batch_worker_crashes_total");
    std::vector<bool> attributed = attributedRuns(worker, runs);
    TaskStates states;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const Allocation& lost = runs[index];
        std::optional<BatchTaskState> current = claimedState(worker, lost);
        if (!current)
            continue;
        requeue(*current, lost);
        countCrash(*current, { worker, lost, attributed[index], m_hooks.clock() });
        states.emplace_back(lost.task, std::move(*current));
    }
    if (states.empty())
        return;
    m_hooks.storeTasks(std::move(states), [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            requestPlan();
    });
}

void BatchScheduler::addExpiredRun(const state::WorkerId& worker, const Allocation& lost)
{
    const WorkerSession& session = *m_sessions.at(worker);
    ExpiredWorker& expired = m_expiredWorkers[worker];
    expired.address = session.description().address;
    expired.incarnation = session.incarnation();
    expired.since = m_hooks.clock();
    expired.runs.push_back(lost);
}

bool BatchScheduler::respondsAgain(const state::WorkerId& worker, const ExpiredWorker& expired) const
{
    auto session = m_sessions.find(worker);
    return session != m_sessions.end() && session->second->responsive(m_hooks.clock())
        && session->second->incarnation() == expired.incarnation;
}

bool BatchScheduler::restartedSince(const state::WorkerId& worker, const ExpiredWorker& expired) const
{
    // A worker that shuts down as announced ends its runs without a fault of theirs.
    auto draining = m_drainingIncarnations.find(worker);
    if (draining != m_drainingIncarnations.end() && draining->second == expired.incarnation)
        return false;
    if (auto session = m_sessions.find(worker); session != m_sessions.end()) {
        if (incarnationsDiffer(expired.incarnation, session->second->incarnation()))
            return true;
    }
    // An address is used again only after the process that had it has ended.
    return !expired.address.empty() && std::any_of(m_sessions.begin(), m_sessions.end(), [&](const auto& entry) {
        return entry.first != worker && entry.second->listed()
            && entry.second->description().address == expired.address;
    });
}

void BatchScheduler::checkExpiredWorkers()
{
    state::MonotonicTime now = m_hooks.clock();
    for (auto next = m_expiredWorkers.begin(); next != m_expiredWorkers.end();) {
        const auto& [worker, expired] = *next;
        bool restarted = restartedSince(worker, expired);
        if (restarted) {
            m_metrics.increment("lentilsaddle_batch_worker_crashes_total");
            std::vector<bool> attributed = attributedRuns(worker, expired.runs);
            for (std::size_t index = 0; index < expired.runs.size(); ++index)
                m_lateCrashes.push_back({ worker, expired.runs[index], attributed[index], now });
        }
        bool obsolete = restarted || respondsAgain(worker, expired) || now - expired.since > m_options.crashReturnLimit;
        next = obsolete ? m_expiredWorkers.erase(next) : std::next(next);
    }
}

bool BatchScheduler::lateChangeObsolete(const BatchTaskId& task) const
{
    const BatchJobEntry* entry = m_table.find(task.job);
    return !entry || !entry->contains(task) || entry->finished() || entry->task(task).phase == TaskPhase::Done;
}

bool BatchScheduler::mayStoreLateChange(const BatchTaskId& task) const
{
    return m_table.find(task.job)->task(task).phase == TaskPhase::Queued && !isBeingStored(task);
}

void BatchScheduler::storeLateCrashes()
{
    TaskStates states;
    std::erase_if(m_lateCrashes, [&](const Crash& crash) {
        const BatchTaskId& task = crash.allocation.task;
        if (lateChangeObsolete(task))
            return true;
        if (!mayStoreLateChange(task))
            return false;
        m_claiming.insert(task);
        BatchTaskState current = m_table.find(task.job)->task(task);
        countCrash(current, crash);
        states.emplace_back(task, std::move(current));
        return true;
    });
    storeLateStates(std::move(states));
}

void BatchScheduler::storeLateFailures()
{
    TaskStates states;
    std::erase_if(m_lateFailures, [&](const LateFailure& failure) {
        if (lateChangeObsolete(failure.task))
            return true;
        if (!mayStoreLateChange(failure.task))
            return false;
        BatchTaskState current = m_table.find(failure.task.job)->task(failure.task);
        if (!current.addFailedRun(failure.run))
            return true;
        m_claiming.insert(failure.task);
        writeLog(LogLevel::Info, "scheduler", "failure of an earlier run counted",
            { { "job", failure.task.job.value() }, { "task", failure.task.toString() },
                { "run", std::to_string(failure.run) }, { "failures", std::to_string(current.failures) } });
        states.emplace_back(failure.task, std::move(current));
        return true;
    });
    storeLateStates(std::move(states));
}

void BatchScheduler::storeLateStates(TaskStates states)
{
    if (states.empty())
        return;
    std::vector<BatchTaskId> tasks;
    tasks.reserve(states.size());
    for (const auto& [task, taskState] : states)
        tasks.push_back(task);
    m_hooks.storeTasks(std::move(states), [this, tasks = std::move(tasks), alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        for (const BatchTaskId& task : tasks)
            m_claiming.erase(task);
        requestPlan();
    });
}

} // namespace lentilsaddle::coordination::batch
