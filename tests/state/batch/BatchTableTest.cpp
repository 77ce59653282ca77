#include "state/batch/BatchTable.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <malloc.h>
#include <string>

namespace lentilsaddle::state::batch {

namespace {

    using Phase = BatchJobEntry::Phase;
    using TaskPhase = BatchTaskState::Phase;

    const JobId jobId { "00000000000000aa" };

    BatchJob makeJob(int tasks, bool gang = false, int maximumAttempts = 2)
    {
        return {
            .id = jobId,
            .queue = { .name = "q", .maximumAttempts = maximumAttempts },
            .steps = { { .taskCount = tasks, .gang = gang } },
        };
    }

    BatchTaskId taskId(int index, int step = 0)
    {
        return { .job = jobId, .occurrence = 0, .step = step, .index = index };
    }

} // namespace

// Guards against a job reported as completed while one of its tasks is not done.
TEST(BatchTable, JobIsCompletedOnlyWhenAllTasksAreDone)
{
    BatchTable table;
    table.applyJob(makeJob(2));
    table.applyTask(taskId(0), { .phase = TaskPhase::Done, .run = 1 }, 5);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Running);
    table.applyTask(taskId(1), { .phase = TaskPhase::Done, .run = 1 }, 6);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Completed);
    EXPECT_TRUE(table.activeJobs().empty());
}

// Guards against a job that is reported as running although one of its tasks is never started again.
TEST(BatchTable, JobWithATaskThatWasGivenUpHasFailed)
{
    BatchTable table;
    table.applyJob(makeJob(2));
    table.applyTask(taskId(0), { .run = 2, .workerCrashes = 2 }, 5);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Running);
    table.applyTask(taskId(0), { .run = 2, .workerCrashes = 2, .givenUp = true }, 6);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Failed);
    EXPECT_TRUE(table.activeJobs().empty());
}

// Guards against a record read from the stream that reverts a newer state, which the writer applied when its append was
// acknowledged.
TEST(BatchTable, OlderRecordDoesNotReplaceNewerState)
{
    BatchTable table;
    table.applyJob(makeJob(1));
    table.applyTask(taskId(0), { .phase = TaskPhase::Done, .run = 1 }, 9);
    table.applyTask(taskId(0), { .phase = TaskPhase::Claimed, .run = 1 }, 8);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Completed);
}

// Guards against a repeated submission that restarts a finished or cancelled job.
TEST(BatchTable, RepeatedSubmissionChangesNothing)
{
    BatchTable table;
    table.applyJob(makeJob(1));
    table.applyCancellation(jobId);
    table.applyJob(makeJob(1));
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Cancelled);
    EXPECT_TRUE(table.activeJobs().empty());
}

// Guards against losing a cancellation or a claim that is read before the job itself, as a listing by key does.
TEST(BatchTable, RecordsBeforeTheirJobAreKept)
{
    BatchTable table;
    table.applyCancellation(jobId);
    table.applyTask(taskId(0), { .phase = TaskPhase::Claimed, .run = 3 }, 2);
    table.applyJob(makeJob(1));
    EXPECT_TRUE(table.find(jobId)->cancelled());
    EXPECT_EQ(table.find(jobId)->task(taskId(0)).run, 3);
}

// Guards against a gang that fails one attempt too early because two of its members failed in the same run.
TEST(BatchTable, MembersThatFailInOneRunCountOnce)
{
    BatchTable table;
    table.applyJob(makeJob(2, true));
    table.applyTask(taskId(0), { .run = 1, .failures = 1, .failedRuns = { 1 } }, 1);
    table.applyTask(taskId(1), { .run = 1, .failures = 1, .failedRuns = { 1 } }, 2);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Running);
    table.applyTask(taskId(1), { .run = 2, .failures = 2, .failedRuns = { 1, 2 } }, 3);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Failed);
}

// Guards against out-of-bounds access by a record of a task that the job does not contain.
TEST(BatchTable, TaskOutsideItsJobIsIgnored)
{
    BatchTable table;
    table.applyJob(makeJob(1));
    table.applyTask(taskId(1), { .phase = TaskPhase::Done, .run = 1 }, 1);
    table.applyTask(taskId(0, 1), { .phase = TaskPhase::Done, .run = 1 }, 2);
    EXPECT_EQ(table.find(jobId)->phase(), Phase::Queued);
}

// Guards against a count of pending jobs that omits those whose claimed tasks no worker has begun.
TEST(BatchTable, PendingCountsJobsWithoutAStartedTask)
{
    BatchTable table;
    table.applyJob(makeJob(2));
    EXPECT_EQ(table.pendingCount("q"), 1U);
    EXPECT_EQ(table.pendingCount("other"), 0U);
    table.applyTask(taskId(1), { .phase = TaskPhase::Claimed, .run = 1 }, 1);
    EXPECT_EQ(table.pendingCount("q"), 1U);
    table.applyTask(taskId(1), { .phase = TaskPhase::Queued, .run = 1 }, 2);
    EXPECT_EQ(table.pendingCount("q"), 1U);
    table.applyStart(jobId);
    EXPECT_EQ(table.pendingCount("q"), 0U);
}

// Guards against a started job that counts as pending because the record of its start was read before the job, or
// because an earlier version has stored none.
TEST(BatchTable, EarlyStartAndFailedRunShowThatAJobHasStarted)
{
    BatchTable table;
    table.applyStart(jobId);
    table.applyJob(makeJob(1));
    EXPECT_EQ(table.pendingCount("q"), 0U);
    BatchTable earlier;
    earlier.applyJob(makeJob(1));
    earlier.applyTask(taskId(0), { .run = 1, .failures = 1, .failedRuns = { 1 } }, 1);
    EXPECT_EQ(earlier.pendingCount("q"), 0U);
}

// Guards against a step that starts before all tasks of an earlier one are done.
TEST(BatchTable, StepWaitsForAllTasksOfItsPredecessors)
{
    BatchTable table;
    BatchJob job = makeJob(2);
    job.steps.push_back({ .predecessors = { 0 } });
    table.applyJob(job);
    table.applyTask(taskId(0), { .phase = TaskPhase::Done, .run = 1 }, 1);
    EXPECT_FALSE(table.find(jobId)->predecessorsDone(0, 1));
    table.applyTask(taskId(1), { .phase = TaskPhase::Done, .run = 1 }, 2);
    EXPECT_TRUE(table.find(jobId)->predecessorsDone(0, 1));
}

// Guards against memory for each announced task: few small jobs with very many occurrences would end the process, again
// at each restart.
TEST(BatchTable, MemoryGrowsWithRecordedTasksOnly)
{
    constexpr int jobs = 15;
    constexpr std::size_t bytesPerJob = 16'384;
    BatchTable table;
    auto allocated = [] { return mallinfo2().uordblks + mallinfo2().hblkhd; };
    std::size_t before = allocated();
    for (int number = 0; number < jobs; ++number) {
        BatchJob job = makeJob(10);
        job.id = JobId("job-" + std::to_string(number));
        job.steps.resize(10, job.steps.front());
        job.occurrences = 1'000;
        table.applyJob(job);
        BatchTaskId task { .job = job.id, .occurrence = 999, .step = 9, .index = 9 };
        table.applyTask(task, { .phase = BatchTaskState::Phase::Claimed, .run = 1 }, 1);
        EXPECT_EQ(table.find(job.id)->queuedTasks(999, 9), 9);
    }
    EXPECT_LE(allocated() - before, jobs * bytesPerJob);
}

// Guards against records of complete occurrences that are kept until the job ends, and against their tasks running
// again.
TEST(BatchTable, CompleteOccurrenceStaysDoneWithoutRecords)
{
    BatchTable table;
    BatchJob job = makeJob(2);
    job.steps.resize(2, job.steps.front());
    job.occurrences = 3;
    table.applyJob(job);
    std::uint64_t offset = 0;
    for (int step : { 0, 1 }) {
        for (int index : { 0, 1 }) {
            EXPECT_FALSE(table.find(jobId)->stepDone(1, step));
            BatchTaskId task { .job = jobId, .occurrence = 1, .step = step, .index = index };
            table.applyTask(task, { .phase = TaskPhase::Done, .run = 1 }, ++offset);
            table.applyTask(task, { .phase = TaskPhase::Queued, .run = 1 }, ++offset);
        }
    }
    const BatchJobEntry& entry = *table.find(jobId);
    for (int step : { 0, 1 }) {
        EXPECT_TRUE(entry.stepDone(1, step));
        EXPECT_EQ(entry.queuedTasks(1, step), 0);
        EXPECT_EQ(entry.task({ .job = jobId, .occurrence = 1, .step = step, .index = 1 }).phase, TaskPhase::Done);
        EXPECT_EQ(entry.queuedTasks(0, step), 2);
        EXPECT_EQ(entry.queuedTasks(2, step), 2);
    }
    EXPECT_EQ(entry.phase(), Phase::Running);
}

// Guards against a done task that a late record makes queued again, and against a lost run number of a done task.
TEST(BatchTable, DoneTaskKeepsItsRunAndItsPhase)
{
    BatchTable table;
    table.applyJob(makeJob(1));
    BatchTaskId task = taskId(0);
    table.applyTask(task, { .phase = BatchTaskState::Phase::Done, .run = 3 }, 1);
    table.applyTask(task, { .phase = BatchTaskState::Phase::Queued, .run = 4 }, 2);
    EXPECT_EQ(table.find(jobId)->task(task).phase, BatchTaskState::Phase::Done);
    EXPECT_EQ(table.find(jobId)->task(task).run, 3);
    EXPECT_EQ(table.find(jobId)->openTaskCount(), 0U);
}

} // namespace lentilsaddle::state::batch
