#include "state/batch/BatchJobEntry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lentilsaddle::state::batch {

BatchJobEntry::BatchJobEntry(BatchJob job)
    : m_job(std::move(job))
{
    for (const BatchStep& step : m_job.steps) {
        m_firstSlots.push_back(m_tasksPerOccurrence);
        m_tasksPerOccurrence += static_cast<std::size_t>(step.taskCount);
    }
    m_slots.resize(m_tasksPerOccurrence * static_cast<std::size_t>(m_job.occurrences));
    for (int occurrence = 0; occurrence < m_job.occurrences; ++occurrence) {
        for (const BatchStep& step : m_job.steps)
            m_counts.push_back({ .queued = step.taskCount });
    }
}

bool BatchJobEntry::contains(const BatchTaskId& task) const
{
    return task.job == m_job.id && task.occurrence >= 0 && task.occurrence < m_job.occurrences && task.step >= 0
        && task.step < static_cast<int>(m_job.steps.size()) && task.index >= 0
        && task.index < m_job.steps[static_cast<std::size_t>(task.step)].taskCount;
}

std::size_t BatchJobEntry::slotIndex(int occurrence, int step, int index) const
{
    return static_cast<std::size_t>(occurrence) * m_tasksPerOccurrence + m_firstSlots[static_cast<std::size_t>(step)]
        + static_cast<std::size_t>(index);
}

const BatchJobEntry::StepCounts& BatchJobEntry::counts(int occurrence, int step) const
{
    return m_counts[static_cast<std::size_t>(occurrence) * m_job.steps.size() + static_cast<std::size_t>(step)];
}

void BatchJobEntry::updateCounts(const BatchTaskId& task, const BatchTaskState& taskState, int change)
{
    auto step = static_cast<std::size_t>(task.occurrence) * m_job.steps.size() + static_cast<std::size_t>(task.step);
    if (taskState.phase == BatchTaskState::Phase::Queued)
        m_counts[step].queued += change;
    if (taskState.phase == BatchTaskState::Phase::Done)
        m_counts[step].done += change;
}

void BatchJobEntry::setTaskState(const BatchTaskId& task, const BatchTaskState& taskState, std::uint64_t offset)
{
    TaskSlot& slot = m_slots[slotIndex(task.occurrence, task.step, task.index)];
    if (slot.hasRecord && offset <= slot.offset)
        return;
    if (slot.state.phase == BatchTaskState::Phase::Done)
        --m_doneTasks;
    if (slot.state.run > 0)
        --m_claimedTasks;
    updateCounts(task, slot.state, -1);
    slot = { .state = taskState, .offset = offset, .hasRecord = true };
    updateCounts(task, slot.state, 1);
    if (taskState.phase == BatchTaskState::Phase::Done)
        ++m_doneTasks;
    if (taskState.run > 0)
        ++m_claimedTasks;
    // Only a run that has begun leaves one of these.
    m_started = m_started || taskState.phase == BatchTaskState::Phase::Done || taskState.failures > 0
        || !taskState.checkpoint.empty();
    if (taskState.givenUp || failures(task) >= m_job.queue.maximumAttempts)
        m_failed = true;
}

BatchJobEntry::Phase BatchJobEntry::phase() const
{
    if (m_doneTasks == m_slots.size())
        return Phase::Completed;
    if (m_failed)
        return Phase::Failed;
    if (m_cancelled)
        return Phase::Cancelled;
    return m_claimedTasks > 0 ? Phase::Running : Phase::Queued;
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

int BatchJobEntry::failures(const BatchTaskId& task) const
{
    const BatchStep& step = m_job.steps[static_cast<std::size_t>(task.step)];
    if (!step.gang)
        return this->task(task).failures;
    // Members that failed in the same run count as one failure of the gang. Records of earlier versions do not name all
    // runs.
    int mostOfAMember = 0;
    std::set<std::int64_t> runs;
    for (int index = 0; index < step.taskCount; ++index) {
        const BatchTaskState& member = this->task(task.occurrence, task.step, index);
        mostOfAMember = std::max(mostOfAMember, member.failures);
        runs.insert(member.failedRuns.begin(), member.failedRuns.end());
    }
    return std::max(mostOfAMember, static_cast<int>(runs.size()));
}

std::int64_t BatchJobEntry::highestRun(int occurrence, int step) const
{
    std::int64_t highest = 0;
    for (int index = 0; index < taskCount(step); ++index)
        highest = std::max(highest, task(occurrence, step, index).run);
    return highest;
}

} // namespace lentilsaddle::state::batch
