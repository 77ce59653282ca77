#include "coordination/decisions/BestFitPlacement.h"
#include "coordination/decisions/GreedyBackfillPlacement.h"
#include "coordination/decisions/StrictFifoPlacement.h"
#include "tests/coordination/decisions/PlacementFixture.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

namespace {

    constexpr state::GangShape one { .tasks = 1, .acceleratorsPerTask = 1, .adjacency = state::Adjacency::Worker };
    constexpr state::GangShape wholeRack { .tasks = 2, .acceleratorsPerTask = 4, .adjacency = state::Adjacency::Rack };

    /// One rack with one accelerator of its second worker in use, a rack-wide job and a small one waiting.
    PlacementFixture fixtureWithBlockedJob()
    {
        PlacementFixture fixture(1, 2, 4);
        fixture.placement.allocate(state::JobId("running"), state::AccountId("a"),
            { { .worker = PlacementFixture::workerId(1), .accelerators = { 0 } } },
            { .expectedEnd = state::MonotonicTime(std::chrono::minutes(30)) });
        fixture.submit("a", wholeRack);
        fixture.submit("a", one);
        return fixture;
    }

} // namespace

// Guards against a baseline that is better or worse than its name; comparisons rest on them.
TEST(BaselinePlacementTest, BestFitTakesTheFullestWorker)
{
    PlacementFixture fixture = fixtureWithBlockedJob();
    PlacementPlan plan = fixture.step(bestFitPlacement());
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().placements.front().worker, PlacementFixture::workerId(1));
}

TEST(BaselinePlacementTest, StrictFifoLetsNobodyPass)
{
    PlacementFixture fixture = fixtureWithBlockedJob();
    EXPECT_TRUE(fixture.step(strictFifoPlacement()).starts.empty());
}

TEST(BaselinePlacementTest, BackfillStartsOnlyJobsThatEndInTime)
{
    PlacementFixture fixture = fixtureWithBlockedJob();
    EXPECT_TRUE(fixture.step(greedyBackfillPlacement()).starts.empty());
    fixture.queue.back().specification.declaredRunTime = std::chrono::minutes(20);
    EXPECT_EQ(fixture.step(greedyBackfillPlacement()).starts.size(), 1U);
}

} // namespace lentilsaddle::coordination
