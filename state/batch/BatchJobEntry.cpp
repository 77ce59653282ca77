#include "state/batch/BatchJobEntry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lentilsaddle::state::batch {

BatchJobEntry::BatchJobEntry(BatchJob job)
    : m_job(std::move(job))
{
    for (const BatchStep& step : m_job.steps)
        m_totalTasks += static_cast<std::size_t>(step.taskCount) * static_cast<std::size_t>(m_job.occurrences);
}

bool BatchJobEntry::contains(const BatchTaskId& task) const
{
    return task.job == m_job.id && task.occurrence >= 0 && task.occurrence < m_job.occurrences && task.step >= 0
        && task.step < static_cast<int>(m_job.steps.size()) && task.index >= 0
        && task.index < m_job.steps[static_cast<std::size_t>(task.step)].taskCount;
}

const BatchJobEntry::StepRecords* BatchJobEntry::records(int occurrence, int step) const
{
    auto found = m_records.find({ occurrence, step });
    return found == m_records.end() ? nullptr : &found->second;
}

BatchTaskState BatchJobEntry::task(const BatchTaskId& task) const
{
    if (const BatchTaskState* open = openTask(task.occurrence, task.step, task.index))
        return *open;
    if (taskPhase(task.occurrence, task.step, task.index) != BatchTaskState::Phase::Done)
        return {};
    if (occurrenceDone(task.occurrence))
        return { .phase = BatchTaskState::Phase::Done };
    std::int32_t run = records(task.occurrence, task.step)->doneRuns[static_cast<std::size_t>(task.index)];
    return { .phase = BatchTaskState::Phase::Done, .run = run };
}

BatchTaskState::Phase BatchJobEntry::taskPhase(int occurrence, int step, int index) const
{
    if (occurrenceDone(occurrence))
        return BatchTaskState::Phase::Done;
    const StepRecords* known = records(occurrence, step);
    if (known && !known->doneRuns.empty() && known->doneRuns[static_cast<std::size_t>(index)] != notDone)
        return BatchTaskState::Phase::Done;
    const BatchTaskState* open = openTask(occurrence, step, index);
    return open ? open->phase : BatchTaskState::Phase::Queued;
}

const BatchTaskState* BatchJobEntry::openTask(int occurrence, int step, int index) const
{
    const StepRecords* known = records(occurrence, step);
    if (!known)
        return nullptr;
    auto found = known->open.find(index);
    return found == known->open.end() ? nullptr : &found->second.state;
}

void BatchJobEntry::forEachOpenTask(
    const std::function<void(const BatchTaskId&, const BatchTaskState&)>& callback) const
{
    for (const auto& [place, known] : m_records) {
        for (const auto& [index, task] : known.open)
            callback({ .job = m_job.id, .occurrence = place.first, .step = place.second, .index = index }, task.state);
    }
}

void BatchJobEntry::setTaskState(const BatchTaskId& task, const BatchTaskState& taskState, std::uint64_t offset)
{
    using Phase = BatchTaskState::Phase;
    if (taskPhase(task.occurrence, task.step, task.index) == Phase::Done)
        return;
    StepRecords& known = m_records[{ task.occurrence, task.step }];
    auto [found, added] = known.open.try_emplace(task.index);
    OpenTask& open = found->second;
    if (!added && offset <= open.offset)
        return;
    m_openCount += added ? 1 : 0;
    known.claimed += (taskState.phase == Phase::Claimed ? 1 : 0) - (open.state.phase == Phase::Claimed ? 1 : 0);
    known.highestRun = std::max(known.highestRun, taskState.run);
    m_claimed = m_claimed || taskState.run > 0;
    open = { .state = taskState, .offset = offset };
    // Only a run that has begun leaves one of these.
    m_started = m_started || taskState.phase == Phase::Done || taskState.failures > 0 || !taskState.checkpoint.empty();
    if (taskState.givenUp || failures(task) >= m_job.queue.maximumAttempts)
        m_failed = true;
    if (taskState.phase == Phase::Done)
        setDone(known, task, taskState);
}

void BatchJobEntry::setDone(StepRecords& records, const BatchTaskId& task, const BatchTaskState& taskState)
{
    if (records.doneRuns.empty())
        records.doneRuns.assign(static_cast<std::size_t>(taskCount(task.step)), notDone);
    records.doneRuns[static_cast<std::size_t>(task.index)] = static_cast<std::int32_t>(taskState.run);
    records.open.erase(task.index);
    ++records.done;
    ++m_doneCount;
    --m_openCount;
    if (records.done == taskCount(task.step))
        removeDoneOccurrence(task.occurrence);
}

void BatchJobEntry::removeDoneOccurrence(int occurrence)
{
    // That of a job without repetitions goes with its job.
    if (m_job.occurrences == 1)
        return;
    for (int step = 0; step < static_cast<int>(m_job.steps.size()); ++step) {
        if (!stepDone(occurrence, step))
            return;
    }
    m_doneOccurrences.resize(static_cast<std::size_t>(m_job.occurrences));
    m_doneOccurrences[static_cast<std::size_t>(occurrence)] = true;
    m_records.erase(m_records.lower_bound({ occurrence, 0 }), m_records.lower_bound({ occurrence + 1, 0 }));
}

BatchJobEntry::Phase BatchJobEntry::phase() const
{
    if (m_doneCount == m_totalTasks)
        return Phase::Completed;
    if (m_failed)
        return Phase::Failed;
    if (m_cancelled)
        return Phase::Cancelled;
    return m_claimed ? Phase::Running : Phase::Queued;
}

bool BatchJobEntry::finished() const
{
    Phase current = phase();
    return current != Phase::Queued && current != Phase::Running;
}

bool BatchJobEntry::predecessorsDone(int occurrence, int step) const
{
    const std::vector<int>& predecessors = m_job.steps[static_cast<std::size_t>(step)].predecessors;
    return std::all_of(
        predecessors.begin(), predecessors.end(), [&](int predecessor) { return stepDone(occurrence, predecessor); });
}

bool BatchJobEntry::stepDone(int occurrence, int step) const
{
    const StepRecords* known = records(occurrence, step);
    return occurrenceDone(occurrence) || (known ? known->done : 0) == taskCount(step);
}

int BatchJobEntry::queuedTasks(int occurrence, int step) const
{
    if (occurrenceDone(occurrence))
        return 0;
    const StepRecords* known = records(occurrence, step);
    return taskCount(step) - (known ? known->claimed + known->done : 0);
}

int BatchJobEntry::failures(const BatchTaskId& task) const
{
    if (!m_job.steps[static_cast<std::size_t>(task.step)].gang) {
        const BatchTaskState* open = openTask(task.occurrence, task.step, task.index);
        return open ? open->failures : 0;
    }
    const StepRecords* known = records(task.occurrence, task.step);
    if (!known)
        return 0;
    // Members that failed in the same run count as one failure of the gang. Records of earlier versions do not name all
    // runs.
    int mostOfAMember = 0;
    std::set<std::int64_t> runs;
    for (const auto& [index, member] : known->open) {
        mostOfAMember = std::max(mostOfAMember, member.state.failures);
        runs.insert(member.state.failedRuns.begin(), member.state.failedRuns.end());
    }
    return std::max(mostOfAMember, static_cast<int>(runs.size()));
}

std::int64_t BatchJobEntry::highestRun(int occurrence, int step) const
{
    const StepRecords* known = records(occurrence, step);
    return known ? known->highestRun : 0;
}

} // namespace lentilsaddle::state::batch
