/// @file
/// Batch job with the state of its tasks.
#pragma once

#include "state/batch/BatchJob.h"
#include "state/batch/BatchTaskId.h"
#include "state/batch/BatchTaskState.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace lentilsaddle::state::batch {

/// Tasks of one job that have begun and are not done. More are not started until others are done, which bounds the
/// states that a process keeps. As many as the largest step has.
inline constexpr int maximumOpenTasks = 10'000;

/// Steps of one job, counted in each occurrence, that are offered to a planning round. Further ones wait until some of
/// these are done.
inline constexpr int maximumOfferedSteps = 1'000;

/// Specification of a job and the state of its tasks, as replayed from the journal. The memory grows with the tasks
/// that the journal holds records of, not with those that the specification announces.
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
    /// @return the state; of a task that is done, the phase and, while its occurrence is not complete, the run.
    BatchTaskState task(const BatchTaskId& task) const;

    /// @param index a task that the step contains.
    BatchTaskState::Phase taskPhase(int occurrence, int step, int index) const;

    /// @return the recorded state of a task that is not done; null if there is none.
    const BatchTaskState* openTask(int occurrence, int step, int index) const;

    /// @return number of tasks with a recorded state that are not done.
    std::size_t openTaskCount() const { return m_openCount; }

    /// Calls back for each task with a recorded state that is not done.
    void forEachOpenTask(const std::function<void(const BatchTaskId&, const BatchTaskState&)>& callback) const;

    /// Sets a task's state unless a newer one is known, or the task is done.
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

    bool stepDone(int occurrence, int step) const;

    /// @return number of tasks of the step that are neither claimed nor done.
    int queuedTasks(int occurrence, int step) const;

    /// @return number of failed attempts that count towards the limit: of the task, or of its whole gang.
    int failures(const BatchTaskId& task) const;

    /// @return the highest run number of the step's tasks in this occurrence.
    std::int64_t highestRun(int occurrence, int step) const;

private:
    struct OpenTask {
        BatchTaskState state;
        std::uint64_t offset = 0;
    };

    /// Tasks of one step in one occurrence of which the journal holds records.
    struct StepRecords {
        /// Tasks that are not done, by index.
        std::map<int, OpenTask> open;
        /// Run numbers of the tasks that are done, by index; `notDone` for the others. Empty while none is done.
        std::vector<std::int32_t> doneRuns;
        int claimed = 0;
        int done = 0;
        std::int64_t highestRun = 0;
    };

    static constexpr std::int32_t notDone = -1;

    int taskCount(int step) const { return m_job.steps[static_cast<std::size_t>(step)].taskCount; }
    /// @return null if the journal holds no record of the step in this occurrence.
    const StepRecords* records(int occurrence, int step) const;
    bool occurrenceDone(int occurrence) const
    {
        return !m_doneOccurrences.empty() && m_doneOccurrences[static_cast<std::size_t>(occurrence)];
    }
    /// Replaces the records of an occurrence by a mark if all of its tasks are done.
    void removeDoneOccurrence(int occurrence);
    void setDone(StepRecords& records, const BatchTaskId& task, const BatchTaskState& taskState);

    BatchJob m_job;
    std::size_t m_totalTasks = 0;
    /// By occurrence and step.
    std::map<std::pair<int, int>, StepRecords> m_records;
    /// Occurrences of which all tasks are done; they have no records. Empty while there is none.
    std::vector<bool> m_doneOccurrences;
    std::size_t m_openCount = 0;
    std::size_t m_doneCount = 0;
    /// Whether a task has ever been claimed.
    bool m_claimed = false;
    bool m_started = false;
    bool m_cancelled = false;
    bool m_failed = false;
};

} // namespace lentilsaddle::state::batch
