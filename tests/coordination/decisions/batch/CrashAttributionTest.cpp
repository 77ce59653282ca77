#include "coordination/decisions/batch/CrashAttribution.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using state::batch::BatchTaskState;

    const state::JobId jobA { "a" };
    const state::JobId jobB { "b" };

    BatchTaskState afterCrashes(const std::vector<bool>& crashes)
    {
        BatchTaskState taskState;
        for (bool attributed : crashes)
            recordCrash(taskState, attributed);
        return taskState;
    }

} // namespace

// Guards against blaming tasks that had run on the worker for a while for the crash that a start causes.
TEST(CrashAttribution, CrashIsAttributedToTheOnlyStartingJob)
{
    EXPECT_EQ(
        attributeCrash({ { jobA, true }, { jobB, false }, { jobB, false } }), (std::vector { false, true, true }));
}

// Guards against giving up tasks that started together with the one that crashes workers.
TEST(CrashAttribution, CrashWithStartsOfSeveralJobsIsNotAttributed)
{
    EXPECT_EQ(attributeCrash({ { jobA, false }, { jobB, false } }), (std::vector { false, false }));
}

// Guards against giving up a task that survives its starts, for crashes that have another cause.
TEST(CrashAttribution, CrashIsNotAttributedToARunThatSurvivedItsStart)
{
    EXPECT_EQ(attributeCrash({ { jobA, true } }), (std::vector { false }));
    EXPECT_TRUE(attributeCrash({}).empty());
}

// Guards against a job that fails because of one crash of a worker.
TEST(CrashAttribution, OneCrashDoesNotGiveATaskUp)
{
    BatchTaskState taskState = afterCrashes({ true });
    EXPECT_FALSE(taskState.givenUp);
    EXPECT_FALSE(mayCrashWorkers(taskState));
}

// Guards against a third crash by a task that is known to have caused two.
TEST(CrashAttribution, TwoAttributedCrashesGiveATaskUp)
{
    EXPECT_TRUE(afterCrashes({ true, true }).givenUp);
    EXPECT_TRUE(afterCrashes({ true, false, true }).givenUp);
}

// Guards against giving up a task that only shared workers with others that crash them.
TEST(CrashAttribution, TaskIsGivenUpAfterThreeCrashesOnlyIfTheLastOneIsAttributed)
{
    EXPECT_FALSE(afterCrashes({ false, false }).givenUp);
    EXPECT_TRUE(mayCrashWorkers(afterCrashes({ false, false })));
    EXPECT_FALSE(afterCrashes({ true, false, false }).givenUp);
    EXPECT_TRUE(afterCrashes({ false, false, true }).givenUp);
}

// Guards against a third start after three crashes of a task that never starts alone.
TEST(CrashAttribution, TaskIsGivenUpBeforeTheThirdStartAfterItsThirdCrash)
{
    EXPECT_FALSE(afterCrashes(std::vector(4, false)).givenUp);
    EXPECT_TRUE(afterCrashes(std::vector(5, false)).givenUp);
}

} // namespace lentilsaddle::coordination::batch
