#include "coordination/decisions/batch/UnsavedWork.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::seconds;

    constexpr state::MonotonicTime now { seconds(100) };

    // A run of 10 s on 2 cores and an accelerator.
    RunProgress makeRun(bool writesCheckpoints)
    {
        return {
            .resources = { .milliCores = 2'000, .accelerators = 1 },
            .since = now - seconds(10),
            .writesCheckpoints = writesCheckpoints,
        };
    }

} // namespace

// Guards against a long run without checkpoints that is stopped because its loss seems small.
TEST(UnsavedWork, RunWithoutCheckpointsLosesAllItsWork)
{
    EXPECT_DOUBLE_EQ(workLostByStop(makeRun(false), now), 100);
    EXPECT_DOUBLE_EQ(unsavedWork(makeRun(false), now), 100);
}

// Guards against stopping short runs without checkpoints in place of a run that would lose only its restore.
TEST(UnsavedWork, StopOfARunWithCheckpointsLosesOnlyItsRestore)
{
    RunProgress run = makeRun(true);
    EXPECT_LT(workLostByStop(run, now), 10);
    run.since = now;
    EXPECT_DOUBLE_EQ(workLostByStop(run, now), 0);
}

// Guards against counting saved work as lost when a run ends without a stop.
TEST(UnsavedWork, EndWithoutAStopLosesTheWorkSinceTheLastCheckpoint)
{
    RunProgress run = makeRun(true);
    EXPECT_DOUBLE_EQ(unsavedWork(run, now), 100);
    run.lastCheckpoint = now - seconds(1);
    EXPECT_DOUBLE_EQ(unsavedWork(run, now), 10);
    run.writesCheckpoints = false;
    EXPECT_DOUBLE_EQ(unsavedWork(run, now), 100);
}

// Guards against a new leader that preempts the longest runs, because it has known all of them for the same time.
TEST(UnsavedWork, RunThatBeganBeforeItWasKnownLosesItsEarlierWork)
{
    RunProgress run = makeRun(false);
    run.since = now - seconds(1);
    run.earlierRunTime = seconds(8);
    EXPECT_DOUBLE_EQ(workLostByStop(run, now), 80);
    EXPECT_DOUBLE_EQ(unsavedWork(run, now), 80);
    EXPECT_DOUBLE_EQ(workLostByStop(run, now + seconds(9)), 100);
}

} // namespace lentilsaddle::coordination::batch
