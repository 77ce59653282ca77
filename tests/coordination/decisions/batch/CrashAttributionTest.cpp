#include "coordination/decisions/batch/CrashAttribution.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using state::batch::BatchTaskState;

    const state::JobId jobA { "a" };
    const state::JobId jobB { "b" };

    BatchTaskState afterCrashes(const std::vector<CrashEvidence>& crashes)
    {
        BatchTaskState taskState;
        for (CrashEvidence evidence : crashes)
            recordCrash(taskState, evidence);
        return taskState;
    }

} // namespace

// Guards against blaming tasks that had run on the worker for a while for the crash that a start causes.
TEST(CrashAttribution, CrashIsAttributedToTheOnlyStartingJob)
{
    std::vector<CrashEvidence> evidence = attributeCrash({ { jobA, true }, { jobB, false }, { jobB, false } });
    EXPECT_EQ(evidence,
        (std::vector { CrashEvidence::None, CrashEvidence::OnlyStartingJob, CrashEvidence::OnlyStartingJob }));
}

// Guards against giving up tasks that started together with the one that crashes workers.
TEST(CrashAttribution, CrashWithStartsOfSeveralJobsIsNotAttributed)
{
    std::vector<CrashEvidence> evidence = attributeCrash({ { jobA, false }, { jobB, false } });
    EXPECT_EQ(evidence, (std::vector { CrashEvidence::None, CrashEvidence::None }));
}

// Guards against giving up tasks early that survived their start on a worker that crashes for another reason.
TEST(CrashAttribution, CrashWithoutStartsIsWeakEvidenceAgainstTheOnlyJob)
{
    EXPECT_EQ(attributeCrash({ { jobA, true } }), (std::vector { CrashEvidence::OnlyJob }));
    EXPECT_EQ(
        attributeCrash({ { jobA, true }, { jobB, true } }), (std::vector { CrashEvidence::None, CrashEvidence::None }));
    EXPECT_TRUE(attributeCrash({}).empty());
}

// Guards against a job that fails because of one crash of a worker.
TEST(CrashAttribution, OneCrashDoesNotGiveATaskUp)
{
    BatchTaskState taskState = afterCrashes({ CrashEvidence::OnlyStartingJob });
    EXPECT_FALSE(taskState.givenUp);
    EXPECT_FALSE(mayCrashWorkers(taskState));
}

// Guards against a third crash by a task that is known to have caused two.
TEST(CrashAttribution, TwoAttributedCrashesGiveATaskUp)
{
    EXPECT_TRUE(afterCrashes({ CrashEvidence::OnlyStartingJob, CrashEvidence::OnlyStartingJob }).givenUp);
}

// Guards against giving up a task that only shared workers with others that crash them.
TEST(CrashAttribution, TaskIsGivenUpAfterThreeCrashesOnlyIfTheLastOneIsAttributed)
{
    std::vector<CrashEvidence> crashes { CrashEvidence::None, CrashEvidence::None };
    EXPECT_FALSE(afterCrashes(crashes).givenUp);
    EXPECT_TRUE(mayCrashWorkers(afterCrashes(crashes)));
    crashes.push_back(CrashEvidence::None);
    EXPECT_FALSE(afterCrashes(crashes).givenUp);
    crashes.back() = CrashEvidence::OnlyJob;
    EXPECT_TRUE(afterCrashes(crashes).givenUp);
}

// Guards against a third start after three crashes of a task that never starts alone.
TEST(CrashAttribution, TaskIsGivenUpBeforeTheThirdStartAfterItsThirdCrash)
{
    EXPECT_FALSE(afterCrashes(std::vector(4, CrashEvidence::None)).givenUp);
    EXPECT_TRUE(afterCrashes(std::vector(5, CrashEvidence::None)).givenUp);
}

} // namespace lentilsaddle::coordination::batch
