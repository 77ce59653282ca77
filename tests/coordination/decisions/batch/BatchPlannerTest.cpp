#include "coordination/decisions/batch/BatchPlanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace lentilsaddle::coordination::batch {

namespace {

    using state::batch::Resources;
    using std::chrono::milliseconds;

    constexpr Resources wholeWorker { .milliCores = 32'000, .memoryMegabytes = 65'536, .accelerators = 8 };

    WorkerView makeWorker(const std::string& id, const std::string& rack = "r1")
    {
        return {
            .worker = { .id = state::WorkerId(id),
                .service = state::ServiceId("s"),
                .capacity = wholeWorker,
                .labels = { "a", rack },
                .rack = rack },
            .free = wholeWorker,
            .freeAfterStops = wholeWorker,
        };
    }

    BatchUnit makeUnit(const std::string& job, int tasks, std::int64_t accelerators, int priority = 1)
    {
        BatchUnit unit {
            .job = state::JobId(job),
            .account = state::AccountId("a"),
            .resources = { .milliCores = 1'000, .memoryMegabytes = 1'000, .accelerators = accelerators },
            .service = state::ServiceId("s"),
            .priority = priority,
            .deadline = state::MonotonicTime(milliseconds(100'000)),
            .hardDeadline = state::MonotonicTime(milliseconds(300'000)),
            .readySince = state::MonotonicTime(milliseconds(10'000)),
            .estimate = milliseconds(5'000),
        };
        for (int index = 0; index < tasks; ++index)
            unit.indices.push_back(index);
        return unit;
    }

    // A gang whose members each need a whole worker.
    BatchUnit makeGang(const std::string& job, int tasks)
    {
        BatchUnit unit = makeUnit(job, tasks, wholeWorker.accelerators);
        unit.gang = true;
        return unit;
    }

    // Adds a run of a group to a worker.
    void addRun(PlanInput& input, std::size_t worker, std::size_t group, std::int64_t accelerators)
    {
        Resources resources { .milliCores = 1'000, .memoryMegabytes = 1'000, .accelerators = accelerators };
        input.workers[worker].free -= resources;
        input.workers[worker].freeAfterStops -= resources;
        input.workers[worker].runs.push_back({ .group = group, .resources = resources });
    }

    // Sets the accelerators of a worker; its runs stay.
    void shrink(PlanInput& input, std::size_t worker, std::int64_t accelerators)
    {
        WorkerView& view = input.workers[worker];
        std::int64_t removed = view.worker.capacity.accelerators - accelerators;
        view.worker.capacity.accelerators = accelerators;
        view.free.accelerators -= removed;
        view.freeAfterStops.accelerators -= removed;
    }

    BatchPlan plan(PlanInput input)
    {
        if (input.now == state::MonotonicTime {})
            input.now = state::MonotonicTime(milliseconds(10'000));
        return BatchPlanner({}, std::move(input)).plan();
    }

    std::set<std::string> placesOf(const PlanInput& input)
    {
        std::set<std::string> names;
        for (const Placement& placement : plan(input).placements)
            names.insert(input.workers[placement.worker].worker.id.value());
        return names;
    }

} // namespace

// Guards against urgent work on workers that are slow after their start while others fit, as after an evacuation.
TEST(BatchPlanner, UrgentWorkAvoidsColdWorkers)
{
    PlanInput input { .workers = { makeWorker("cold"), makeWorker("warm") } };
    input.workers[0].cold = true;
    // Without regard to the cold, the fuller worker fits better.
    addRun(input, 0, 0, 4);
    input.groups.push_back({ .priority = 1 });
    auto workersOf = [&](BatchUnit unit) {
        PlanInput copy = input;
        copy.units = { std::move(unit) };
        std::vector<std::size_t> workers;
        for (const Placement& placement : plan(std::move(copy)).placements)
            workers.push_back(placement.worker);
        return workers;
    };
    EXPECT_EQ(workersOf(makeUnit("urgent", 1, 1, 0)), std::vector<std::size_t> { 1 });
    BatchUnit guaranteed = makeUnit("guaranteed", 1, 1);
    guaranteed.guaranteed = true;
    EXPECT_EQ(workersOf(guaranteed), std::vector<std::size_t> { 1 });
    EXPECT_EQ(workersOf(makeUnit("other", 1, 1)), std::vector<std::size_t> { 0 });
    EXPECT_EQ(workersOf(makeUnit("large", 3, 4, 0)), (std::vector<std::size_t> { 1, 1, 0 }));
}

// Guards against an urgent gang in a rack of cold workers that is fuller than a rack of warm ones.
TEST(BatchPlanner, UrgentGangAvoidsARackOfColdWorkers)
{
    PlanInput input { .workers = { makeWorker("cold", "r1"), makeWorker("warm", "r2") } };
    input.workers[0].cold = true;
    addRun(input, 0, 0, 4);
    input.groups.push_back({ .priority = 0 });
    input.units = { makeUnit("gang", 2, 2, 0) };
    input.units[0].gang = true;
    input.units[0].sameRack = true;
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "warm" }));
    input.workers.pop_back();
    EXPECT_EQ(plan(input).placements.size(), 2U);
}

// Guards against a gang of which only some members are placed.
TEST(BatchPlanner, GangIsPlacedAsAWholeOrNotAtAll)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.units = { makeUnit("j", 3, 8) };
    input.units[0].gang = true;
    EXPECT_TRUE(plan(input).placements.empty());
    input.units[0].gang = false;
    EXPECT_EQ(plan(input).placements.size(), 2U);
}

// Guards against a gang spread over racks, where it would run slower, while one rack has the capacity for it.
TEST(BatchPlanner, SameRackGangStaysInOneRack)
{
    PlanInput input { .workers = { makeWorker("w1", "r1"), makeWorker("w2", "r2"), makeWorker("w3", "r2") } };
    input.units = { makeUnit("j", 2, 8) };
    input.units[0].gang = true;
    input.units[0].sameRack = true;
    BatchPlan result = plan(input);
    ASSERT_EQ(result.placements.size(), 2U);
    for (const Placement& placement : result.placements)
        EXPECT_EQ(input.workers[placement.worker].worker.rack, "r2");
}

// Guards against a start beside others that leaves open which of them crashed the worker, and that endangers more runs
// than necessary.
TEST(BatchPlanner, IsolatedStartGetsTheEmptiestWorkerWithoutOtherStarts)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2"), makeWorker("w3") } };
    input.groups = { {}, {}, {} };
    addRun(input, 0, 0, 4);
    addRun(input, 0, 1, 3);
    input.workers[1].startPending = true;
    addRun(input, 2, 2, 1);
    input.units = { makeUnit("j", 1, 1) };
    EXPECT_EQ(plan(input).placements.at(0).worker, 0U);
    input.units[0].isolatedStart = true;
    EXPECT_EQ(plan(input).placements.at(0).worker, 2U);
}

// Guards against a task that waits for ever because some run is starting on each worker, and against giving up the
// isolation of its start where that is not needed.
TEST(BatchPlanner, IsolatedStartThatHasWaitedLongJoinsOtherStartsAsALastResort)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.groups = { {}, {} };
    input.workers[0].startPending = true;
    addRun(input, 1, 0, 1);
    addRun(input, 1, 1, 1);
    input.units = { makeUnit("j", 1, 1) };
    input.units[0].isolatedStart = true;
    input.units[0].isolationWaitOver = true;
    EXPECT_EQ(plan(input).placements.at(0).worker, 1U);
    input.workers[1].startPending = true;
    EXPECT_EQ(plan(input).placements.at(0).worker, 0U);
    input.units[0].isolationWaitOver = false;
    EXPECT_TRUE(plan(input).placements.empty());
}

// Guards against another start on a worker before it is known whether the isolated one crashes it.
TEST(BatchPlanner, NothingStartsBesideAnIsolatedStart)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.units = { makeUnit("j", 1, 1), makeUnit("k", 1, 1) };
    input.units[0].isolatedStart = true;
    EXPECT_EQ(plan(input).placements.size(), 1U);
    input.units.erase(input.units.begin());
    input.workers[0].startPending = true;
    EXPECT_EQ(plan(input).placements.size(), 1U);
    input.workers[0].isolatedStartPending = true;
    EXPECT_TRUE(plan(input).placements.empty());
}

// Guards against preemption that loses more work than necessary.
TEST(BatchPlanner, UrgentUnitPreemptsTheRunsWithTheLeastLoss)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.groups = { { .priority = 1, .loss = 50 }, { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 8);
    addRun(input, 1, 1, 8);
    input.units = { makeUnit("j", 1, 8, 0) };
    BatchPlan result = plan(input);
    EXPECT_TRUE(result.placements.empty());
    EXPECT_EQ(result.preemptions, (std::vector<Preemption> { { .group = 1, .unit = 0 } }));
}

// Guards against preempting a small run although a larger victim alone frees enough capacity.
TEST(BatchPlanner, StopsNoRunWhoseCapacityIsNotNeeded)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 2, .loss = 1 }, { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 2);
    addRun(input, 0, 1, 6);
    input.units = { makeUnit("j", 1, 6, 0) };
    EXPECT_EQ(plan(input).preemptions, (std::vector<Preemption> { { .group = 1, .unit = 0 } }));
}

// Guards against preempting more runs in each round while the first ones are still being stopped.
TEST(BatchPlanner, WaitsForCapacityOfStoppingRuns)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.groups = { { .priority = 2, .loss = 5 }, { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 8);
    addRun(input, 1, 1, 8);
    input.workers[0].runs[0].stopping = true;
    input.workers[0].freeAfterStops = wholeWorker;
    input.units = { makeUnit("j", 1, 8, 0) };
    BatchPlan result = plan(input);
    EXPECT_TRUE(result.placements.empty());
    EXPECT_TRUE(result.preemptions.empty());
}

// Guards against a gang that preempts one set of workers after the other, because another unit uses the workers that
// are free already while the last victim is being stopped.
TEST(BatchPlanner, FreedCapacityIsHeldForTheUnitThatPreempted)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2"), makeWorker("w3") } };
    input.groups = { { .priority = 2, .loss = 1 }, { .priority = 2, .loss = 2 }, { .priority = 2, .loss = 9 } };
    for (std::size_t worker = 0; worker < 3; ++worker)
        addRun(input, worker, worker, 8);
    input.units = { makeGang("gang", 2) };
    input.units[0].priority = 0;
    BatchPlan first = plan(input);
    ASSERT_EQ(first.preemptions.size(), 2U);
    ASSERT_EQ(first.holds.size(), 2U);

    // The first victim has ended, the second one has not.
    input.workers[0] = makeWorker("w1");
    input.workers[1].runs[0].stopping = true;
    input.workers[1].freeAfterStops = wholeWorker;
    BatchUnit other = makeUnit("other", 1, 8, 0);
    other.deadline -= milliseconds(50'000);
    input.units.push_back(other);
    input.holds = first.holds;
    BatchPlan second = plan(input);
    EXPECT_TRUE(second.placements.empty());
    EXPECT_EQ(second.preemptions, (std::vector<Preemption> { { .group = 2, .unit = 1 } }));

    input.workers[1] = makeWorker("w2");
    input.units.pop_back();
    EXPECT_EQ(plan(input).placements.size(), 2U);
}

// Guards against a new leader that stops a long run on one of the few workers that it knows yet.
TEST(BatchPlanner, NothingIsPreemptedWhileWorkersAreUnknown)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 8);
    input.units = { makeUnit("j", 1, 8, 0) };
    input.units[0].guaranteed = true;
    input.preemptionAllowed = false;
    EXPECT_TRUE(plan(input).preemptions.empty());
    input.units[0].gang = true;
    EXPECT_TRUE(plan(input).preemptions.empty());
    input.preemptionAllowed = true;
    EXPECT_EQ(plan(input).preemptions.size(), 1U);
}

// Guards against a hold that keeps a unit waiting for a worker that has gone or does not stop its runs, and against one
// that delays a guaranteed unit.
TEST(BatchPlanner, HoldGivesWay)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.units = { makeGang("gang", 2), makeUnit("other", 1, 8, 0) };
    input.units[0].priority = 0;
    input.units[1].deadline += milliseconds(50'000);
    input.workers[1].free = {};
    input.workers[1].freeAfterStops = {};
    for (const char* worker : { "w1", "w2", "w9" })
        input.holds.push_back({ .job = state::JobId("gang"),
            .worker = state::WorkerId(worker),
            .since = state::MonotonicTime(milliseconds(9'900)) });
    EXPECT_EQ(plan(input).placements.size(), 1U) << "a gang holds a part of what it needs";
    input.workers[1].freeAfterStops = wholeWorker;
    EXPECT_TRUE(plan(input).placements.empty());
    input.units[1].guaranteed = true;
    EXPECT_EQ(plan(input).placements.size(), 1U);
}

// Guards against a guaranteed unit that cannot be served and voids all holds in each round, and against one that is
// kept off the capacity it takes over by its own reservation.
TEST(BatchPlanner, HoldEndsOnlyIfAGuaranteedUnitUsesIt)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.workers[1].free = {};
    input.units = { makeGang("gang", 2), makeGang("large", 3) };
    input.units[0].priority = 0;
    for (const char* worker : { "w1", "w2" })
        input.holds.push_back({ .job = state::JobId("gang"),
            .worker = state::WorkerId(worker),
            .since = state::MonotonicTime(milliseconds(10'900)) });
    input.now = state::MonotonicTime(milliseconds(11'500));
    input.units[1].guaranteed = true;
    EXPECT_EQ(plan(input).holds.size(), 2U) << "the large gang exceeds the workers";
    input.units[1] = makeGang("labelled", 1);
    input.units[1].guaranteed = true;
    input.units[1].requiredLabel = "none";
    EXPECT_EQ(plan(input).holds.size(), 2U) << "no worker has the label";
    input.units[1].requiredLabel.clear();
    BatchPlan result = plan(input);
    EXPECT_EQ(result.placements.size(), 1U);
    EXPECT_TRUE(result.holds.empty());
}

// Guards against a unit that never starts on the workers that it holds, because they are outside of its rack.
TEST(BatchPlanner, UnitStartsOnHeldWorkersOutsideOfItsRack)
{
    PlanInput input { .workers = { makeWorker("w1", "r1"), makeWorker("w2", "r2") } };
    auto holdFor = [&](const char* worker) {
        input.holds.push_back({ .job = state::JobId("held"),
            .worker = state::WorkerId(worker),
            .since = state::MonotonicTime(milliseconds(9'900)) });
    };
    holdFor("w1");
    holdFor("w2");
    input.units = { makeGang("held", 2) };
    input.units[0].priority = 0;
    input.units[0].sameRack = true;
    input.units[0].guaranteed = true;
    EXPECT_EQ(plan(input).placements.size(), 2U);
    // The same for a gang that needs speed.
    input.units[0].deadline = state::MonotonicTime(milliseconds(10'000) + input.units[0].estimate * 3 / 2);
    input.workers.push_back(makeWorker("slow", "r3"));
    input.workers[2].relativeRunTime = 1.6;
    EXPECT_EQ(plan(input).placements.size(), 2U);
    input.workers.pop_back();

    input.units = { makeUnit("held", 1, 8, 0) };
    input.units[0].preferredRack = "r1";
    input.holds.clear();
    holdFor("w2");
    addRun(input, 0, 0, 8);
    input.groups.push_back({ .priority = 0 });
    EXPECT_EQ(plan(input).placements.size(), 1U);
}

// Guards against preempting runs of equal priority for a unit that no guarantee covers.
TEST(BatchPlanner, OnlyAGuaranteePreemptsTheSamePriority)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 0, .loss = 5 } };
    addRun(input, 0, 0, 8);
    input.units = { makeUnit("j", 1, 8, 0) };
    EXPECT_TRUE(plan(input).preemptions.empty());
    input.units[0].guaranteed = true;
    EXPECT_EQ(plan(input).preemptions.size(), 1U);
}

// Guards against endless preemption for a unit past its hard deadline: units placed before it get the freed capacity.
TEST(BatchPlanner, ExpiredUnitPreemptsNothingUnlessGuaranteed)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 8);
    input.units = { makeUnit("j", 1, 8, 0) };
    input.now = input.units[0].hardDeadline;
    EXPECT_TRUE(plan(input).preemptions.empty());
    input.units[0].guaranteed = true;
    EXPECT_EQ(plan(input).preemptions.size(), 1U);
}

// Guards against more tasks of a step on one worker than the job allows, including those that already run there.
TEST(BatchPlanner, KeepsTheLimitPerWorker)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.units = { makeUnit("j", 4, 1) };
    input.units[0].maximumPerWorker = 2;
    input.units[0].runningOnWorker[state::WorkerId("w1")] = 1;
    EXPECT_EQ(plan(input).placements.size(), 3U);
}

TEST(BatchPlanner, RequiredLabelIsNeverIgnored)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.units = { makeUnit("j", 1, 1, 0) };
    input.units[0].guaranteed = true;
    input.units[0].requiredLabel = "b";
    EXPECT_TRUE(plan(input).placements.empty());
}

// Guards against starvation of a large task by small ones that use its workers first.
TEST(BatchPlanner, ReservesCapacityForALargeWaitingTask)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 2);
    input.units = { makeUnit("large", 1, 8, 1), makeUnit("small", 1, 1, 2) };
    input.now = state::MonotonicTime(milliseconds(12'000));
    EXPECT_TRUE(plan(input).placements.empty());
}

// Guards against the same for a gang, and against a reservation on more workers than it needs.
TEST(BatchPlanner, ReservesCapacityForAWaitingGang)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2"), makeWorker("w3") } };
    input.groups = { { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 2);
    addRun(input, 1, 0, 2);
    input.units = { makeGang("large", 2), makeUnit("small", 10, 1, 2) };
    input.now = state::MonotonicTime(milliseconds(12'000));
    BatchPlan result = plan(input);
    std::map<std::size_t, int> startsOn;
    for (const Placement& placement : result.placements)
        ++startsOn[placement.worker];
    EXPECT_EQ(startsOn, (std::map<std::size_t, int> { { 1, 6 } })) << "the emptiest workers were not reserved";
}

// Guards against a gang that exceeds all workers and holds back other jobs on idle workers.
TEST(BatchPlanner, GangLargerThanAllWorkersHoldsNothingBack)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    input.units = { makeGang("hopeless", 3), makeUnit("small", 2, 8, 2) };
    input.now = state::MonotonicTime(milliseconds(12'000));
    EXPECT_EQ(plan(input).placements.size(), 2U);
    // It starts as soon as the workers suffice.
    input.workers.push_back(makeWorker("w3"));
    BatchPlan result = plan(input);
    ASSERT_EQ(result.placements.size(), 3U);
    EXPECT_EQ(result.placements.front().unit, 0U);
}

// Guards against the same for a gang that must be in one rack and exceeds each of them.
TEST(BatchPlanner, GangLargerThanEachRackHoldsNothingBack)
{
    PlanInput input { .workers = { makeWorker("w1", "r1"), makeWorker("w2", "r2"), makeWorker("w3", "r2") } };
    input.groups = { { .priority = 1, .loss = 5 } };
    addRun(input, 0, 0, 8);
    BatchUnit gang = makeGang("hopeless", 3);
    gang.sameRack = true;
    input.units = { gang, makeUnit("small", 2, 8, 2) };
    // Long enough for a reservation, too short for a gang that is spread over racks.
    input.now = state::MonotonicTime(milliseconds(11'100));
    EXPECT_EQ(plan(input).placements.size(), 2U);
    // After that it may be spread, so its workers are reserved.
    input.now = state::MonotonicTime(milliseconds(21'000));
    EXPECT_TRUE(plan(input).placements.empty());
}

// Guards against the same for a gang whose preferred rack has lost workers, and against a gang that gets no reservation
// at all since then.
TEST(BatchPlanner, GangLargerThanItsPreferredRackHoldsNothingBackThere)
{
    PlanInput input { .workers = { makeWorker("w1", "r1"), makeWorker("w2", "r2") } };
    input.groups = { { .priority = 1, .loss = 5 } };
    addRun(input, 1, 0, 8);
    BatchUnit gang = makeGang("large", 2);
    gang.preferredRack = "r1";
    input.units = { gang, makeUnit("small", 1, 8, 2) };
    input.now = state::MonotonicTime(milliseconds(11'100));
    EXPECT_EQ(plan(input).placements.size(), 1U);
    input.now = state::MonotonicTime(milliseconds(21'000));
    EXPECT_TRUE(plan(input).placements.empty()) << "nothing was reserved for the gang outside its rack";
}

// Guards against the same for a gang that exceeds all workers only by its limit for each.
TEST(BatchPlanner, GangLargerThanItsLimitPerWorkerAllowsHoldsNothingBack)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2") } };
    BatchUnit gang = makeGang("hopeless", 3);
    gang.resources.accelerators = 1;
    gang.maximumPerWorker = 1;
    input.units = { gang, makeUnit("small", 16, 1, 2) };
    input.now = state::MonotonicTime(milliseconds(12'000));
    EXPECT_EQ(plan(input).placements.size(), 16U);
}

// Guards against units that cannot start and use up the reservations of those that can.
TEST(BatchPlanner, UnitsThatCannotStartUseUpNoReservations)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 2);
    for (std::size_t number = 0; number < PlannerOptions().maximumReservations; ++number)
        input.units.push_back(makeGang("hopeless-" + std::to_string(number), 2));
    input.units.push_back(makeUnit("large", 1, 8, 1));
    input.units.push_back(makeUnit("small", 1, 1, 2));
    input.now = state::MonotonicTime(milliseconds(12'000));
    EXPECT_TRUE(plan(input).placements.empty());
}

// Guards against two reservations that cannot both come true, of which the second only keeps workers idle.
TEST(BatchPlanner, ReservationsTogetherDoNotExceedTheWorkers)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2"), makeWorker("w3") } };
    input.groups = { { .priority = 2, .loss = 5 } };
    for (std::size_t worker = 0; worker < 3; ++worker)
        addRun(input, worker, 0, 2);
    BatchUnit second = makeGang("second", 2);
    second.deadline += milliseconds(1'000);
    input.units = { makeGang("first", 2), second, makeUnit("small", 24, 1, 2) };
    input.now = state::MonotonicTime(milliseconds(12'000));
    EXPECT_EQ(plan(input).placements.size(), 6U) << "the worker that the first gang does not need is not used";
    // With a fourth worker both can be served.
    input.workers.push_back(makeWorker("w4"));
    addRun(input, 3, 0, 2);
    EXPECT_TRUE(plan(input).placements.empty());
}

namespace {

    // Workers of which the first is fast, the second usual and the third slow, each with room for all tasks.
    PlanInput threeSpeeds()
    {
        PlanInput input { .workers = { makeWorker("fast"), makeWorker("usual"), makeWorker("slow") } };
        input.workers[0].relativeRunTime = 0.6;
        input.workers[1].relativeRunTime = 1.0;
        input.workers[2].relativeRunTime = 1.6;
        return input;
    }

    // A gang that is late if one member runs on a slow worker.
    BatchUnit urgentGang(int tasks, std::int64_t accelerators)
    {
        BatchUnit unit = makeUnit("urgent", tasks, accelerators, 0);
        unit.gang = true;
        unit.deadline = state::MonotonicTime(milliseconds(10'000) + unit.estimate * 3 / 2);
        return unit;
    }

} // namespace

// Guards against an urgent gang that is late because of one member on a slow worker.
TEST(BatchPlanner, UrgentGangKeepsOffSlowWorkers)
{
    PlanInput input = threeSpeeds();
    input.units = { urgentGang(2, 4) };
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "fast" }));
    // It is as slow as its slowest member, so usual workers serve a gang that does not fit the fast ones.
    input.units = { urgentGang(2, 8) };
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "fast", "usual" }));
}

// Guards against an urgent gang that starts on slow workers in vain, and against one that waits beyond its guarantee or
// for a deadline that it can no longer meet.
TEST(BatchPlanner, UrgentGangWaitsShortlyForWorkersThatAreNotSlow)
{
    PlanInput input = threeSpeeds();
    input.workers.push_back(makeWorker("busy"));
    addRun(input, 3, 0, 8);
    input.groups.push_back({ .priority = 0, .guaranteed = true });
    input.units = { urgentGang(3, 8) };
    EXPECT_TRUE(placesOf(input).empty());
    input.units[0].guaranteed = true;
    EXPECT_TRUE(placesOf(input).empty());
    input.now = state::MonotonicTime(milliseconds(11'000));
    EXPECT_EQ(placesOf(input).size(), 3U);
    input.units[0].guaranteed = false;
    input.now = state::MonotonicTime(milliseconds(13'000));
    EXPECT_EQ(placesOf(input).size(), 3U);
}

// Guards against a guaranteed unit that waits for stops on other workers after its wait, with and without a hold there.
TEST(BatchPlanner, GuaranteedUnitTakesSlowWorkersAfterItsWait)
{
    PlanInput input = threeSpeeds();
    input.groups = { { .priority = 2 }, { .priority = 0, .guaranteed = true } };
    addRun(input, 0, 0, 8);
    input.workers[0].runs[0].stopping = true;
    input.workers[0].freeAfterStops = wholeWorker;
    addRun(input, 1, 1, 8);
    input.units = { urgentGang(1, 8) };
    input.units[0].guaranteed = true;
    EXPECT_TRUE(placesOf(input).empty());
    input.now = state::MonotonicTime(milliseconds(11'000));
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "slow" }));
    input.holds.push_back({ .job = state::JobId("urgent"),
        .worker = state::WorkerId("fast"),
        .since = state::MonotonicTime(milliseconds(10'900)) });
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "slow" }));
}

// Guards against a slow worker of one service that changes the placement of another service's work.
TEST(BatchPlanner, SlowWorkerMattersToItsServiceOnly)
{
    PlanInput input = threeSpeeds();
    input.workers[2].worker.service = state::ServiceId("other");
    input.groups = { { .priority = 0 } };
    addRun(input, 1, 0, 4);
    input.units = { urgentGang(1, 4) };
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "usual" })) << "the fuller worker fits better";
}

// Guards against holds of tasks that start isolated, which the next round takes for those of the step's other tasks.
TEST(BatchPlanner, HoldOfAnIsolatedStartIsNotListed)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 2 } };
    addRun(input, 0, 0, 8);
    input.units = { makeUnit("j", 1, 8, 0) };
    EXPECT_EQ(plan(input).holds.size(), 1U);
    input.units[0].isolatedStart = true;
    BatchPlan result = plan(input);
    EXPECT_EQ(result.preemptions.size(), 1U);
    EXPECT_TRUE(result.holds.empty());
}

// Guards against a gang that drops its hold because a held worker is slow, and preempts a second set of runs.
TEST(BatchPlanner, GangKeepsItsHoldOnSlowWorkers)
{
    PlanInput input = threeSpeeds();
    input.workers.push_back(makeWorker("other"));
    for (std::size_t worker = 0; worker < 4; ++worker) {
        input.groups.push_back({ .priority = 2, .loss = 1 });
        addRun(input, worker, worker, 8);
    }
    input.units = { urgentGang(2, 8) };
    for (std::size_t worker : { 0, 2 }) {
        input.workers[worker].runs[0].stopping = true;
        input.workers[worker].freeAfterStops = wholeWorker;
        input.holds.push_back({ .job = state::JobId("urgent"),
            .worker = input.workers[worker].worker.id,
            .since = state::MonotonicTime(milliseconds(9'900)) });
    }
    BatchPlan result = plan(input);
    EXPECT_TRUE(result.preemptions.empty());
    EXPECT_EQ(result.holds.size(), 2U);
}

// Guards against a unit that waits for workers that do not exist or do not become free, and against smaller work that
// takes the room for which it waits.
TEST(BatchPlanner, WaitForSpeedIsBounded)
{
    PlanInput input = threeSpeeds();
    input.units = { urgentGang(3, 8) };
    EXPECT_EQ(placesOf(input).size(), 3U) << "the workers that are not slow cannot hold the gang";

    input.groups = { { .priority = 0 } };
    addRun(input, 0, 0, 4);
    addRun(input, 1, 0, 8);
    input.units = { urgentGang(1, 8), makeUnit("small", 3, 4, 2) };
    input.units[0].estimate = milliseconds(20'000);
    input.units[0].deadline += milliseconds(30'000);
    EXPECT_EQ(plan(input).placements.size(), 3U);
    input.now = state::MonotonicTime(milliseconds(11'500));
    EXPECT_EQ(plan(input).placements.size(), 2U) << "nothing is reserved for the waiting gang";
    input.units.pop_back();
    EXPECT_TRUE(placesOf(input).empty());
    input.now = state::MonotonicTime(milliseconds(12'000));
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "slow" }));
}

// Guards against work with slack on the fast workers that urgent work needs next, and against slow workers that stay
// idle.
TEST(BatchPlanner, UnitWithSlackTakesSlowWorkersFirst)
{
    PlanInput input = threeSpeeds();
    input.units = { makeUnit("patient", 1, 8) };
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "slow" }));
    input.units = { makeUnit("patient", 3, 8) };
    EXPECT_EQ(placesOf(input).size(), 3U);
    input.units[0].indices = { 0 };
    input.units[0].deadline = state::MonotonicTime(milliseconds(15'100));
    EXPECT_EQ(placesOf(input), std::set<std::string>({ "fast" }));
}

// Guards against another placement where the speeds of the workers differ by less than matters.
RC_GTEST_PROP(BatchPlanner, SmallDifferencesOfSpeedChangeNothing, ())
{
    PlanInput input;
    int workers = *rc::gen::inRange(1, 8);
    for (int worker = 0; worker < workers; ++worker)
        input.workers.push_back(makeWorker("w" + std::to_string(worker), "r" + std::to_string(worker / 2)));
    int units = *rc::gen::inRange(1, 8);
    for (int index = 0; index < units; ++index) {
        BatchUnit unit = makeUnit(
            "j" + std::to_string(index), *rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9), *rc::gen::inRange(0, 3));
        unit.gang = *rc::gen::arbitrary<bool>();
        unit.guaranteed = unit.priority == 0 && *rc::gen::arbitrary<bool>();
        input.units.push_back(unit);
    }
    auto places = [](const PlanInput& given) {
        std::vector<std::tuple<std::size_t, int, std::size_t>> result;
        for (const Placement& placement : plan(given).placements)
            result.emplace_back(placement.unit, placement.index, placement.worker);
        return result;
    };
    auto equal = places(input);
    for (WorkerView& worker : input.workers)
        worker.relativeRunTime = *rc::gen::inRange(85, 130) / 100.0;
    RC_ASSERT(places(input) == equal);
}

// Guards against a unit that no worker can hold and that changes what else starts, whatever the mix of units.
RC_GTEST_PROP(BatchPlanner, UnitThatCannotStartHoldsNothingBack, ())
{
    int workers = *rc::gen::inRange(1, 6);
    PlanInput input;
    for (int number = 0; number < workers; ++number)
        input.workers.push_back(makeWorker("w" + std::to_string(number), "r" + std::to_string(number % 2)));
    input.groups = { { .priority = 1, .loss = 1 } };
    for (int worker = 0; worker < workers; ++worker)
        addRun(input, static_cast<std::size_t>(worker), 0, *rc::gen::inRange(0, 9));
    int units = *rc::gen::inRange(1, 6);
    for (int number = 0; number < units; ++number) {
        BatchUnit unit = makeUnit("unit-" + std::to_string(number), *rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9),
            *rc::gen::inRange(1, 3));
        unit.gang = *rc::gen::arbitrary<bool>();
        input.units.push_back(unit);
    }
    input.now = state::MonotonicTime(milliseconds(*rc::gen::inRange(10'000, 25'000)));
    std::size_t undisturbed = plan(input).placements.size();
    BatchUnit hopeless = makeGang("hopeless", workers + 1);
    hopeless.priority = *rc::gen::inRange(0, 3);
    hopeless.sameRack = *rc::gen::arbitrary<bool>();
    hopeless.preferredRack = *rc::gen::element<std::string>("", "r0", "r7");
    input.units.push_back(hopeless);
    BatchPlan disturbed = plan(input);
    RC_ASSERT(disturbed.placements.size() == undisturbed);
    RC_ASSERT(disturbed.preemptions.empty());
}

// Guards against allocating more than a worker has, whatever the mix of units.
RC_GTEST_PROP(BatchPlanner, NeverExceedsAWorkersCapacity, ())
{
    PlanInput input;
    int workers = *rc::gen::inRange(1, 6);
    for (int worker = 0; worker < workers; ++worker)
        input.workers.push_back(makeWorker("w" + std::to_string(worker), "r" + std::to_string(worker / 2)));
    int groups = *rc::gen::inRange(0, 5);
    for (int group = 0; group < groups; ++group) {
        input.groups.push_back({ .priority = *rc::gen::inRange(0, 3), .loss = 1.0 * group });
        auto worker = static_cast<std::size_t>(*rc::gen::inRange(0, workers));
        std::int64_t accelerators = *rc::gen::inRange(1, 9);
        if (input.workers[worker].free.accelerators >= accelerators)
            addRun(input, worker, static_cast<std::size_t>(group), accelerators);
    }
    int units = *rc::gen::inRange(1, 8);
    for (int index = 0; index < units; ++index) {
        BatchUnit unit = makeUnit(
            "j" + std::to_string(index), *rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9), *rc::gen::inRange(0, 3));
        unit.gang = *rc::gen::arbitrary<bool>();
        unit.sameRack = *rc::gen::arbitrary<bool>();
        unit.guaranteed = unit.priority == 0 && *rc::gen::arbitrary<bool>();
        input.units.push_back(unit);
    }
    input.now = state::MonotonicTime(milliseconds(*rc::gen::inRange(10'000, 200'000)));
    int holds = *rc::gen::inRange(0, 12);
    for (int hold = 0; hold < holds; ++hold)
        input.holds.push_back({ .job = state::JobId("j" + std::to_string(*rc::gen::inRange(0, units))),
            .worker = state::WorkerId("w" + std::to_string(*rc::gen::inRange(0, workers))),
            .since = input.now - milliseconds(*rc::gen::inRange(0, 2'000)) });
    BatchPlan result = plan(input);
    std::map<std::size_t, Resources> allocated;
    std::map<std::size_t, std::set<int>> placed;
    for (const Placement& placement : result.placements) {
        allocated[placement.worker] += input.units[placement.unit].resources;
        RC_ASSERT(placed[placement.unit].insert(placement.index).second);
    }
    for (const auto& [worker, resources] : allocated)
        RC_ASSERT(resources.fitsInto(input.workers[worker].free));
    std::map<state::JobId, std::size_t> held;
    for (const CapacityHold& hold : result.holds)
        ++held[hold.job];
    for (std::size_t unit = 0; unit < input.units.size(); ++unit)
        RC_ASSERT(held[input.units[unit].job] + placed[unit].size() <= input.units[unit].indices.size());
    std::erase_if(placed, [](const auto& entry) { return entry.second.empty(); });
    for (const auto& [unit, indices] : placed) {
        if (input.units[unit].gang)
            RC_ASSERT(indices.size() == input.units[unit].indices.size());
    }
}

// Guards against a gang that waits although workers of its rack have room: a worker whose capacity has shrunk below
// what runs there must not hide the free capacity of the others.
TEST(BatchPlanner, WorkerOverItsCapacityDoesNotHideTheRoomOfItsRack)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2"), makeWorker("w3") } };
    input.groups = { { .priority = 1, .loss = 5 } };
    addRun(input, 0, 0, 8);
    shrink(input, 0, 0);
    input.units = { makeUnit("j", 2, 8) };
    input.units[0].gang = true;
    input.units[0].sameRack = true;
    EXPECT_EQ(plan(input).placements.size(), 2U);
}

// Guards against the same while capacity is reserved on a worker whose runs are being stopped.
TEST(BatchPlanner, ReservationAfterStopsDoesNotHideTheRoomOfItsRack)
{
    PlanInput input { .workers = { makeWorker("w1"), makeWorker("w2"), makeWorker("w3") } };
    input.workers[0].worker.labels.insert("b");
    input.groups = { { .priority = 2, .loss = 5 } };
    addRun(input, 0, 0, 8);
    input.workers[0].runs[0].stopping = true;
    input.workers[0].freeAfterStops = wholeWorker;
    input.units = { makeUnit("urgent", 1, 8, 0), makeUnit("j", 2, 8) };
    input.units[0].requiredLabel = "b";
    input.units[1].gang = true;
    input.units[1].sameRack = true;
    EXPECT_EQ(plan(input).placements.size(), 2U);
}

// Guards against a worker over its capacity that makes the others look as busy, so that a task waits for its rack
// longer than it should.
TEST(BatchPlanner, WorkerOverItsCapacityDoesNotCountAsMoreThanFull)
{
    PlanInput input { .workers = { makeWorker("w1", "r1"), makeWorker("w2", "r2") } };
    input.groups = { { .priority = 1, .loss = 5 } };
    addRun(input, 0, 0, 8);
    shrink(input, 0, 1);
    input.units = { makeUnit("j", 1, 1) };
    input.units[0].preferredRack = "r1";
    input.now = state::MonotonicTime(milliseconds(12'000));
    EXPECT_EQ(plan(input).placements.size(), 1U);
}

// Guards against preempting too few runs of a worker over its capacity: the stops must also make up for the shortage.
TEST(BatchPlanner, PreemptionOnAWorkerOverItsCapacityCoversTheShortage)
{
    PlanInput input { .workers = { makeWorker("w1") } };
    input.groups = { { .priority = 2, .loss = 1 }, { .priority = 2, .loss = 2 }, { .priority = 2, .loss = 3 } };
    for (std::size_t group = 0; group < input.groups.size(); ++group)
        addRun(input, 0, group, 2);
    shrink(input, 0, 4);
    input.units = { makeUnit("j", 1, 2, 0) };
    EXPECT_EQ(plan(input).preemptions.size(), 2U);
}

// Guards against a start on a worker whose capacity has shrunk below what runs there, also of a task that does not need
// the resource that is short, and against a rack whose room is not used because one of its workers is over its
// capacity.
RC_GTEST_PROP(BatchPlanner, WorkersOverTheirCapacityGetNothingAndHideNothing, ())
{
    PlanInput input;
    int workers = *rc::gen::inRange(1, 6);
    for (int worker = 0; worker < workers; ++worker) {
        auto index = static_cast<std::size_t>(worker);
        input.workers.push_back(makeWorker("w" + std::to_string(worker)));
        input.groups.push_back({ .priority = 0, .loss = 1 });
        addRun(input, index, index, *rc::gen::inRange(0, 9));
        shrink(input, index, *rc::gen::inRange(0, 9));
    }
    input.units = { makeUnit("j", *rc::gen::inRange(1, 5), *rc::gen::inRange(0, 5)) };
    BatchUnit& unit = input.units[0];
    unit.gang = *rc::gen::arbitrary<bool>();
    unit.sameRack = *rc::gen::arbitrary<bool>();
    std::size_t room = 0;
    for (const WorkerView& view : input.workers) {
        Resources free = view.free;
        for (; unit.resources.fitsInto(free); free -= unit.resources)
            ++room;
    }
    BatchPlan result = plan(input);
    for (const Placement& placement : result.placements) {
        Resources& free = input.workers[placement.worker].free;
        free -= unit.resources;
        RC_ASSERT(Resources {}.fitsInto(free));
    }
    std::size_t expected = unit.gang && room < unit.indices.size() ? 0 : std::min(room, unit.indices.size());
    RC_ASSERT(result.placements.size() == expected);
}

} // namespace lentilsaddle::coordination::batch
