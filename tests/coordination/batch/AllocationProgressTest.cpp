#include "coordination/batch/AllocationProgress.h"

#include "coordination/batch/Allocation.h"
#include "state/batch/BatchJobEntry.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

// Guards against runs of an earlier leader that count as just begun, before and after their workers have listed them.
TEST(AllocationProgress, RunOfAnEarlierLeaderCountsItsReportedProgress)
{
    state::batch::BatchJobEntry entry({ .steps = { { .runTimeEstimate = std::chrono::seconds(10) } } });
    Allocation allocation { .entry = &entry, .claimedEarlier = true, .percent = 80 };
    EXPECT_EQ(progressOf(allocation).earlierRunTime, std::chrono::seconds(5));
    allocation.listed = true;
    EXPECT_EQ(progressOf(allocation).earlierRunTime, std::chrono::seconds(8));
    allocation.claimedEarlier = false;
    EXPECT_EQ(progressOf(allocation).earlierRunTime, std::chrono::seconds(0));
}

} // namespace lentilsaddle::coordination::batch
