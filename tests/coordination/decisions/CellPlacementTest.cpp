#include "coordination/decisions/CellPlacement.h"

#include "coordination/decisions/GuaranteeCells.h"
#include "tests/coordination/decisions/PlacementFixture.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

namespace {

    using state::Adjacency;

    constexpr state::GangShape one { .tasks = 1, .acceleratorsPerTask = 1, .adjacency = Adjacency::Worker };
    constexpr state::GangShape wholeWorker { .tasks = 1, .acceleratorsPerTask = 4, .adjacency = Adjacency::Worker };
    constexpr state::GangShape wholeRack { .tasks = 2, .acceleratorsPerTask = 4, .adjacency = Adjacency::Rack };

    /// Occupies accelerators directly, with a guess of the end.
    void run(PlacementFixture& fixture, const std::string& job, int worker, std::vector<int> accelerators,
        std::chrono::minutes end = std::chrono::hours(10))
    {
        fixture.placement.allocate(state::JobId(job), state::AccountId("borrower"),
            { { .worker = PlacementFixture::workerId(worker), .accelerators = std::move(accelerators) } },
            { .expectedEnd = state::MonotonicTime(end) });
    }

} // namespace

// Guards against an urgent job that waits for borrowers, or that stops a job within another account's guarantee.
TEST(CellPlacementTest, UrgentJobPreemptsOnlyBorrowers)
{
    PlacementFixture fixture(2, 2, 4);
    fixture.guarantee("a", { { .accelerators = 8, .adjacency = Adjacency::Rack } });
    fixture.guarantee("b", { { .accelerators = 8, .adjacency = Adjacency::Rack } });
    PlacementPolicy policy = makeCellPlacement({});
    state::JobId guaranteed = fixture.submit("b", wholeRack);
    state::JobId borrower = fixture.submit("b", wholeRack);
    fixture.step(policy);
    ASSERT_TRUE(fixture.running(guaranteed) && fixture.running(borrower));

    state::JobId urgent = fixture.submit("a", wholeRack, true);
    EXPECT_EQ(fixture.step(policy).preemptions, std::vector { borrower });
    fixture.step(policy);
    EXPECT_TRUE(fixture.running(urgent));
    EXPECT_TRUE(fixture.running(guaranteed));
}

// Guards against stopping the guaranteed job on a shared worker, although it started after the borrower.
TEST(CellPlacementTest, GuaranteedJobOnASharedWorkerStays)
{
    PlacementFixture fixture(1, 1, 4);
    fixture.guarantee("a", { { .accelerators = 2, .adjacency = Adjacency::Worker } });
    fixture.guarantee("b", { { .accelerators = 2, .adjacency = Adjacency::Worker } });
    run(fixture, "first", 0, { 0, 1 });
    fixture.placement.allocate(state::JobId("guaranteed"), state::AccountId("b"),
        { { .worker = PlacementFixture::workerId(0), .accelerators = { 2, 3 } } }, { .withinGuarantee = true });
    fixture.submit("a", { .tasks = 1, .acceleratorsPerTask = 2, .adjacency = Adjacency::Worker }, true);
    EXPECT_EQ(fixture.step(makeCellPlacement({})).preemptions, std::vector { state::JobId("first") });
}

// Guards against a borrower that takes over the cell while it is reclaimed for a waiting job of its own account.
TEST(CellPlacementTest, BorrowerOfTheSameAccountIsPreempted)
{
    PlacementFixture fixture(1, 1, 4);
    fixture.guarantee("a", { { .accelerators = 4, .adjacency = Adjacency::Worker } });
    fixture.placement.allocate(state::JobId("borrower"), state::AccountId("a"),
        { { .worker = PlacementFixture::workerId(0), .accelerators = { 0, 1, 2, 3 } } }, { .withinGuarantee = false });
    fixture.submit("a", wholeWorker, true);
    EXPECT_EQ(fixture.step(makeCellPlacement({})).preemptions.size(), 1U);
}

// Guards against preempting a guaranteed job after a takeover, when nobody knows how the jobs were started.
TEST(CellPlacementTest, JobsOfUnknownStandingAreProtectedIfTheGuaranteeCoversThem)
{
    PlacementFixture fixture(1, 2, 4);
    fixture.guarantee("a", { { .accelerators = 4, .adjacency = Adjacency::Worker } });
    fixture.guarantee("b", { { .accelerators = 4, .adjacency = Adjacency::Worker } });
    for (int worker : { 0, 1 })
        fixture.placement.allocate(state::JobId("b" + std::to_string(worker)), state::AccountId("b"),
            { { .worker = PlacementFixture::workerId(worker), .accelerators = { 0, 1, 2, 3 } } });
    fixture.submit("a", wholeWorker, true);
    EXPECT_EQ(fixture.step(makeCellPlacement({})).preemptions, std::vector { state::JobId("b1") });
}

// Guards against stopping a gang for a small job while a smaller borrower would do.
TEST(CellPlacementTest, SmallJobStopsTheSmallestBorrower)
{
    PlacementFixture fixture(1, 2, 4);
    fixture.guarantee("a", { { .accelerators = 1, .adjacency = Adjacency::Worker } });
    run(fixture, "small", 1, { 0 });
    fixture.placement.allocate(state::JobId("gang"), state::AccountId("borrower"),
        { { .worker = PlacementFixture::workerId(0), .accelerators = { 0, 1, 2, 3 } },
            { .worker = PlacementFixture::workerId(1), .accelerators = { 1, 2, 3 } } });
    fixture.submit("a", one, true);
    EXPECT_EQ(fixture.step(makeCellPlacement({})).preemptions, std::vector { state::JobId("small") });
}

// Guards against a job within its guarantee that fills the hole of a waiting job although other accelerators are free.
TEST(CellPlacementTest, GuaranteedJobAvoidsTheReservation)
{
    PlacementFixture fixture(2, 2, 4);
    fixture.guarantee("b", { { .accelerators = 4, .adjacency = Adjacency::Worker, .count = 4 } });
    run(fixture, "ends-first", 0, { 0, 1, 2, 3 }, std::chrono::minutes(10));
    run(fixture, "ends-last", 2, { 0, 1, 2, 3 });
    fixture.submit("a", wholeRack);
    fixture.submit("b", wholeWorker);
    PlacementPlan plan = fixture.step(makeCellPlacement({}));
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().placements.front().worker, PlacementFixture::workerId(3));
}

// Guards against victims that are few but leave the shape spread over more racks than needed.
TEST(CellPlacementTest, VictimsCompleteTheShapeInOneRack)
{
    PlacementFixture fixture(2, 2, 4);
    fixture.guarantee("a", { { .accelerators = 8, .adjacency = Adjacency::DataCentre } });
    fixture.guarantee("b", { { .accelerators = 4, .adjacency = Adjacency::Worker } });
    run(fixture, "left", 0, { 0 });
    run(fixture, "right", 1, { 0 });
    fixture.placement.allocate(state::JobId("guaranteed"), state::AccountId("b"),
        { { .worker = PlacementFixture::workerId(2), .accelerators = { 0, 1, 2, 3 } } }, { .withinGuarantee = true });
    fixture.submit("a", { .tasks = 2, .acceleratorsPerTask = 4, .adjacency = Adjacency::DataCentre }, true);
    // With the free worker 3, one victim would be enough, but the gang would span both racks.
    EXPECT_EQ(fixture.step(makeCellPlacement({})).preemptions.size(), 2U);
}

// Guards against preempting further borrowers while those already told to stop still write their checkpoints.
TEST(CellPlacementTest, StoppingBorrowersAreCountedOn)
{
    PlacementFixture fixture(1, 2, 4);
    fixture.guarantee("a", { { .accelerators = 4, .adjacency = Adjacency::Worker } });
    run(fixture, "first", 0, { 0, 1, 2, 3 });
    run(fixture, "second", 1, { 0, 1, 2, 3 });
    fixture.placement.markStopping(state::JobId("first"));
    fixture.submit("a", wholeWorker, true);
    EXPECT_TRUE(fixture.step(makeCellPlacement({})).preemptions.empty());
}

// Guards against starting part of the largest gang, or none of it where it just fits.
TEST(CellPlacementTest, LargestGangStartsWholeOrNotAtAll)
{
    PlacementFixture fixture(8, 8, 8);
    PlacementPolicy policy = makeCellPlacement({});
    state::GangShape largest { .tasks = 64, .acceleratorsPerTask = 8, .adjacency = Adjacency::DataCentre };
    run(fixture, "small", 17, { 3 });
    state::JobId gang = fixture.submit("a", largest);
    EXPECT_TRUE(fixture.step(policy).starts.empty());
    fixture.placement.release(state::JobId("small"));
    PlacementPlan plan = policy(fixture.placement, fixture.queue, state::MonotonicTime());
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(fixture.startFault(plan.starts.front()), "");
}

// Guards against small jobs that refill the hole of a waiting large job.
TEST(CellPlacementTest, NearlyCompleteHoleIsNotRefilled)
{
    PlacementFixture fixture(1, 2, 4);
    PlacementPolicy policy = makeCellPlacement({ .completionWeight = 1 });
    run(fixture, "last", 0, { 0 });
    fixture.submit("a", wholeRack);
    fixture.submit("b", one);
    EXPECT_TRUE(fixture.step(policy).starts.empty());
}

// Guards against a completion weight without effect, and against lending for longer than the large job waits.
TEST(CellPlacementTest, HoleIsLentToShortJobsByWeight)
{
    PlacementFixture fixture(1, 2, 4);
    run(fixture, "half", 0, { 0, 1, 2, 3 }, std::chrono::minutes(120));
    fixture.submit("a", wholeRack);
    fixture.submit("b", one);
    fixture.queue.back().specification.declaredRunTime = std::chrono::minutes(110);
    EXPECT_TRUE(fixture.step(makeCellPlacement({ .completionWeight = 0.8 })).starts.empty());
    fixture.queue.back().specification.declaredRunTime = std::chrono::minutes(60);
    EXPECT_TRUE(fixture.step(makeCellPlacement({ .completionWeight = 0.2 })).starts.empty());
    EXPECT_EQ(fixture.step(makeCellPlacement({ .completionWeight = 0.8 })).starts.size(), 1U);
}

// Guards against a large job that is passed without bound: the stated limit is 32.
TEST(CellPlacementTest, LargeJobIsPassedAtMost32Times)
{
    PlacementFixture fixture(2, 2, 4);
    PlacementPolicy policy = makeCellPlacement({});
    run(fixture, "left", 0, { 0, 1, 2, 3 });
    run(fixture, "right", 2, { 0 });
    fixture.submit("a", wholeRack);
    int passed = 0;
    for (int i = 0; i < 50; ++i) {
        state::JobId small = fixture.submit("b", one);
        fixture.step(policy);
        passed += fixture.running(small) ? 1 : 0;
        fixture.placement.release(small);
    }
    EXPECT_EQ(passed, 32);
}

// Guards against an account whose own small jobs keep its large job out of their common guarantee.
TEST(CellPlacementTest, OwnSmallJobsStopPassingAtTheBound)
{
    PlacementFixture fixture(1, 2, 4);
    fixture.guarantee("a", { { .accelerators = 8, .adjacency = Adjacency::Rack } });
    PlacementPolicy policy = makeCellPlacement({ .maximumBypass = 2 });
    state::JobId last = fixture.submit("a", one);
    fixture.step(policy);
    state::JobId large = fixture.submit("a", wholeRack);
    for (int i = 0; i < 6; ++i) {
        state::JobId next = fixture.submit("a", one);
        fixture.step(policy);
        fixture.placement.release(last);
        last = next;
    }
    fixture.step(policy);
    EXPECT_TRUE(fixture.running(large));
}

// Guards against a job that no available worker can hold blocking all others.
TEST(CellPlacementTest, ImpossibleJobHoldsUpNobody)
{
    PlacementFixture fixture(1, 2, 4);
    fixture.placement.setAvailable(PlacementFixture::workerId(0), false);
    fixture.submit("a", wholeRack);
    fixture.queue.front().bypassed = 100;
    state::JobId small = fixture.submit("b", wholeWorker);
    fixture.step(makeCellPlacement({}));
    EXPECT_TRUE(fixture.running(small));
}

// Guards against a retry on the worker that failed, and against waiting for ever if there is no other.
TEST(CellPlacementTest, AvoidedWorkersAreUsedOnlyIfNoOtherCanHoldTheJob)
{
    PlacementFixture fixture(1, 2, 4);
    PlacementPolicy policy = makeCellPlacement({});
    fixture.submit("a", wholeWorker);
    fixture.queue.front().avoidedWorkers = { PlacementFixture::workerId(0) };
    PlacementPlan plan = policy(fixture.placement, fixture.queue, state::MonotonicTime());
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().placements.front().worker, PlacementFixture::workerId(1));
    fixture.queue.front().avoidedWorkers.insert(PlacementFixture::workerId(1));
    EXPECT_EQ(policy(fixture.placement, fixture.queue, state::MonotonicTime()).starts.size(), 1U);
}

// Guards against a job of a shrunk guarantee that counts as guaranteed again when the account's other jobs end.
TEST(CellPlacementTest, JobsOfALostGuaranteeNoLongerCountAsStartedWithinIt)
{
    PlacementFixture fixture(1, 2, 4);
    fixture.guarantee("a", { { .accelerators = 4, .adjacency = Adjacency::Worker, .count = 2 } });
    state::JobId job = fixture.submit("a", wholeWorker);
    fixture.step(makeCellPlacement({}));
    ASSERT_EQ(fixture.placement.allocations().at(job).options.withinGuarantee, true);
    fixture.guarantee("a", { { .accelerators = 4, .adjacency = Adjacency::Worker } });
    EXPECT_EQ(fixture.placement.allocations().at(job).options.withinGuarantee, std::nullopt);
}

} // namespace lentilsaddle::coordination
