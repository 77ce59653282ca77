/// @file
/// Batch job with the state of its tasks.
#pragma once

#include "state/batch/BatchJob.h"
#include "state/batch/BatchTaskId.h"
#include "state/batch/BatchTaskState.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lentilsaddle::state::batch {

/// Specification of a job and the state of its tasks, as replayed from the journal.
class BatchJobEntry {
public:
    enum class Phase {
        /// No task has ever been claimed.
        Queued,
        Running,
        Completed,
        Failed,
        Cancelled,
    };

    explicit BatchJobEntry(BatchJob job);

    const BatchJob& job() const { return m_job; }

    /// @return whether the job has such a task.
    bool contains(const BatchTaskId& task) const;

    /// @param task a task that the job contains.
    const BatchTaskState& task(const BatchTaskId& task) const
    {
        return this->task(task.occurrence, task.step, task.index);
    }

    /// @param index a task that the step contains.
    const BatchTaskState& task(int occurrence, int step, int index) const
    {
        return m_slots[slotIndex(occurrence, step, index)].state;
    }

    /// Sets a task's state unless a newer one is known.
    /// @param offset offset of the state's record in the journal.
    void setTaskState(const BatchTaskId& task, const BatchTaskState& taskState, std::uint64_t offset);

    void cancel() { m_cancelled = true; }
    bool cancelled() const { return m_cancelled; }

    Phase phase() const;
    bool finished() const;

    void setStarted() { m_started = true; }
    /// @return whether a worker is known to have begun a task. A claim does not show that.
    bool started() const { return m_started; }

    /// @return whether all tasks of the step's predecessors are done in this occurrence.
    bool predecessorsDone(int occurrence, int step) const;

    bool stepDone(int occurrence, int step) const { return counts(occurrence, step).done == taskCount(step); }

    /// @return number of tasks of the step that are neither claimed nor done.
    int queuedTasks(int occurrence, int step) const { return counts(occurrence, step).queued; }

    /// @return number of failed attempts that count towards the limit: of the task, or of its whole gang.
    int failures(const BatchTaskId& task) const;

    /// @return the highest run number of the step's tasks in this occurrence.
    std::int64_t highestRun(int occurrence, int step) const;

private:
    struct TaskSlot {
        BatchTaskState state;
        std::uint64_t offset = 0;
        bool hasRecord = false;
    };

    /// Number of tasks of one step in one occurrence, by phase.
    struct StepCounts {
        int queued = 0;
        int done = 0;
    };

    std::size_t slotIndex(int occurrence, int step, int index) const;
    int taskCount(int step) const { return m_job.steps[static_cast<std::size_t>(step)].taskCount; }
    const StepCounts& counts(int occurrence, int step) const;
    void updateCounts(const BatchTaskId& task, const BatchTaskState& taskState, int change);

    BatchJob m_job;
    /// Index of the first slot of each step within an occurrence.
    std::vector<std::size_t> m_firstSlots;
    std::size_t m_tasksPerOccurrence = 0;
    std::vector<TaskSlot> m_slots;
    std::vector<StepCounts> m_counts;
    std::size_t m_doneTasks = 0;
    std::size_t m_claimedTasks = 0;
    bool m_started = false;
    bool m_cancelled = false;
    bool m_failed = false;
};

} // namespace lentilsaddle::state::batch
