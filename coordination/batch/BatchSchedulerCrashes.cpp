#include "coordination/batch/BatchScheduler.h"

#include "coordination/decisions/batch/CrashAttribution.h"
#include "transport/EventLoop.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchTaskState;
using transport::LogLevel;
using transport::writeLog;
using TaskPhase = BatchTaskState::Phase;

namespace {

    const char* crashEvidenceName(CrashEvidence evidence)
    {
        switch (evidence) {
        case CrashEvidence::None:
            return "none";
        case CrashEvidence::OnlyJob:
            return "only_job";
        case CrashEvidence::OnlyStartingJob:
            return "only_starting_job";
        }
        return "unknown";
    }

} // namespace

bool BatchScheduler::crashedUnder(
    const state::WorkerId& worker, const Allocation& lost, std::int64_t incarnation, RunLoss loss) const
{
    // A worker that shuts down as announced ends its runs without a fault of theirs.
    auto draining = m_drainingIncarnations.find(worker);
    bool announced = draining != m_drainingIncarnations.end() && draining->second == incarnation;
    if (announced || m_countedCrashes.contains({ lost.task, lost.run }))
        return false;
    switch (loss) {
    case RunLoss::WorkerReplaced:
    case RunLoss::WorkerRestarted:
        return true;
    case RunLoss::NotListed:
    case RunLoss::StaleRun:
        // The start had no response before the worker was restarted.
        return incarnation != 0 && incarnation < m_sessions.at(worker)->incarnation();
    case RunLoss::NotSent:
    case RunLoss::Refused:
    case RunLoss::LeaseExpired:
        return false;
    }
    return false;
}

void BatchScheduler::addCrashedRun(const state::WorkerId& worker, const Allocation& lost)
{
    std::vector<LostRun>& runs = m_crashedRuns[worker];
    bool first = runs.empty();
    runs.push_back({ .allocation = lost, .ended = true });
    if (!first)
        return;
    for (const auto& [key, allocation] : m_sessions.at(worker)->allocations()) {
        // The start may have crashed the worker, and may still be executed by the next incarnation.
        if (allocation.phase == Allocation::Phase::Uncertain && !allocation.inherited)
            runs.push_back({ .allocation = allocation, .ended = false });
    }
    // The session reports the other lost runs of the worker before it returns to the event loop.
    m_loop.startTimer(std::chrono::microseconds(0), [this, worker, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            onWorkerCrashed(worker);
    });
}

void BatchScheduler::onWorkerCrashed(const state::WorkerId& worker)
{
    std::vector<LostRun> runs = std::move(m_crashedRuns.extract(worker).mapped());
    m_metrics.increment("lentilsaddle_batch_worker_crashes_total");
    std::vector<CrashedRun> crashedRuns;
    crashedRuns.reserve(runs.size());
    for (const LostRun& run : runs)
        crashedRuns.push_back({ .job = run.allocation.task.job, .listed = run.allocation.listed });
    std::vector<CrashEvidence> evidence = attributeCrash(crashedRuns);
    TaskStates states;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const Allocation& lost = runs[index].allocation;
        std::optional<BatchTaskState> current = claimedState(worker, lost);
        if (!current)
            continue;
        if (runs[index].ended)
            requeue(*current, lost);
        else
            m_countedCrashes.insert({ lost.task, lost.run });
        recordCrash(*current, evidence[index]);
        if (evidence[index] == CrashEvidence::OnlyStartingJob)
            m_failedOn[{ lost.task.job, lost.task.occurrence, lost.task.step }].insert(worker);
        writeLog(LogLevel::Warning, "scheduler", "worker crashed under a task",
            { { "job", lost.task.job.value() }, { "task", lost.task.toString() }, { "run", std::to_string(lost.run) },
                { "worker", worker.value() }, { "crashes", std::to_string(current->workerCrashes) },
                { "attributed", std::to_string(current->attributedCrashes) },
                { "evidence", crashEvidenceName(evidence[index]) } });
        if (current->givenUp) {
            m_metrics.increment("lentilsaddle_batch_tasks_given_up_total");
            writeLog(LogLevel::Warning, "scheduler", "task given up",
                { { "job", lost.task.job.value() }, { "task", lost.task.toString() },
                    { "crashes", std::to_string(current->workerCrashes) } });
        }
        states.emplace_back(lost.task, std::move(*current));
    }
    if (states.empty())
        return;
    m_hooks.storeTasks(std::move(states), [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            requestPlan();
    });
}

} // namespace lentilsaddle::coordination::batch
