#include "coordination/decisions/batch/CrashAttribution.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using state::batch::BatchTaskState;
    using Stage = CrashedRun::Stage;

    const state::JobId jobA { "a" };
    const state::JobId jobB { "b" };

    // @param crashes for each crash, whether it is attributed. None has another cause.
    BatchTaskState afterCrashes(const std::vector<bool>& crashes)
    {
        BatchTaskState taskState;
        for (bool attributed : crashes) {
            recordCrash(taskState, attributed ? Stage::Starting : Stage::Listed);
            if (attributed && recordAttribution(taskState))
                taskState.givenUp = true;
        }
        return taskState;
    }

} // namespace

// Guards against blaming tasks that had run on the worker for a while for the crash that a start causes.
TEST(CrashAttribution, CrashIsAttributedToTheOnlyStartingJob)
{
    EXPECT_EQ(attributeCrash({ { jobA, Stage::Listed }, { jobB, Stage::Starting }, { jobB, Stage::Starting } }),
        (std::vector { false, true, true }));
}

// Guards against giving up tasks that started together with the one that crashes workers.
TEST(CrashAttribution, CrashWithStartsOfSeveralJobsIsNotAttributed)
{
    EXPECT_EQ(attributeCrash({ { jobA, Stage::Starting }, { jobB, Stage::Starting } }), (std::vector { false, false }));
    EXPECT_EQ(
        attributeCrash({ { jobA, Stage::Starting }, { jobB, Stage::Unconfirmed } }), (std::vector { false, false }));
    EXPECT_EQ(
        attributeCrash({ { jobA, Stage::Starting }, { jobB, Stage::Inherited } }), (std::vector { false, false }));
}

// Guards against giving up a task that survives its starts, for crashes that have another cause.
TEST(CrashAttribution, CrashIsNotAttributedToARunThatSurvivedItsStart)
{
    EXPECT_EQ(attributeCrash({ { jobA, Stage::Listed } }), (std::vector { false }));
    EXPECT_TRUE(attributeCrash({}).empty());
}

// Guards against a job that fails because of one crash of a worker.
TEST(CrashAttribution, OneCrashDoesNotGiveATaskUp)
{
    BatchTaskState taskState = afterCrashes({ true });
    EXPECT_FALSE(taskState.givenUp);
    EXPECT_FALSE(mayCrashWorkers(afterCrashes({ false })));
}

// Guards against a second crash that is blamed on a task because it started where others were running, and was listed
// late.
TEST(CrashAttribution, TaskWithAnAttributedCrashStartsAlone)
{
    EXPECT_TRUE(mayCrashWorkers(afterCrashes({ true })));
}

// Guards against a third crash by a task that is known to have caused two.
TEST(CrashAttribution, TwoAttributedCrashesGiveATaskUp)
{
    EXPECT_TRUE(afterCrashes({ true, true }).givenUp);
    EXPECT_TRUE(afterCrashes({ true, false, true }).givenUp);
}

// Guards against a job that fails because its starts were sent to workers that were down.
TEST(CrashAttribution, StartsWithoutAResponseDoNotGiveATaskUp)
{
    EXPECT_EQ(attributeCrash({ { jobA, Stage::Unconfirmed } }), (std::vector { false }));
    BatchTaskState taskState;
    for (int restart = 0; restart < 6; ++restart)
        recordCrash(taskState, Stage::Unconfirmed);
    EXPECT_FALSE(taskState.givenUp);
    EXPECT_TRUE(mayCrashWorkers(taskState));
    // One that is certain does not complete the number of crashes after which the last one decides.
    recordCrash(taskState, Stage::Starting);
    EXPECT_FALSE(recordAttribution(taskState));
}

// Guards against a third start after three crashes of a task whose first starts had no response.
TEST(CrashAttribution, DoubtfulCrashesCountBesideCertainOnes)
{
    BatchTaskState taskState;
    for (Stage stage : { Stage::Unconfirmed, Stage::Inherited, Stage::Unconfirmed, Stage::Unconfirmed })
        recordCrash(taskState, stage);
    EXPECT_FALSE(taskState.givenUp);
    recordCrash(taskState, Stage::Starting);
    EXPECT_TRUE(taskState.givenUp);
}

// Guards against a third start after three crashes of a task whose crashes coincided with restarts of other workers,
// one of which was not seen.
TEST(CrashAttribution, SuspectIsGivenUpAfterFourCrashes)
{
    BatchTaskState taskState;
    for (Stage stage : { Stage::Starting, Stage::Starting }) {
        recordCrash(taskState, stage);
        recordAttribution(taskState);
    }
    recordCrash(taskState, Stage::Inherited);
    EXPECT_FALSE(taskState.givenUp);
    recordCrash(taskState, Stage::Inherited);
    EXPECT_TRUE(taskState.givenUp);
}

// Guards against a task that crashes workers without end because no start of it gets a response.
TEST(CrashAttribution, StartsWithoutAResponseAreBounded)
{
    BatchTaskState taskState;
    for (int restart = 0; restart < 12; ++restart)
        recordCrash(taskState, Stage::Unconfirmed);
    EXPECT_TRUE(taskState.givenUp);
}

// Guards against crashes that are forgotten when the leader changes between the start and the crash, and against
// blaming a run of an earlier leader that may have survived its start long ago.
TEST(CrashAttribution, CrashUnderARunOfAnEarlierLeaderCountsWithoutAttribution)
{
    EXPECT_EQ(attributeCrash({ { jobA, Stage::Inherited } }), (std::vector { false }));
    BatchTaskState taskState;
    for (int crash = 0; crash < 5; ++crash)
        recordCrash(taskState, Stage::Inherited);
    EXPECT_TRUE(taskState.givenUp);
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
