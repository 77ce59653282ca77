#include "coordination/decisions/batch/ServiceAging.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::seconds;

    constexpr state::MonotonicTime begin { seconds(1'000) };

    // A gang whose result has value for 30 s after it became ready.
    BatchUnit makeGang(const std::string& job, seconds readyAfter, int priority = 1)
    {
        return {
            .job = state::JobId(job),
            .indices = { 0, 1 },
            .resources = { .accelerators = 4 },
            .gang = true,
            .priority = priority,
            .deadline = begin + readyAfter + seconds(10),
            .hardDeadline = begin + readyAfter + seconds(30),
            .readySince = begin + readyAfter,
            .estimate = seconds(4),
        };
    }

    std::vector<WorkerView> makeWorkers(std::int64_t accelerators)
    {
        return { { .worker = { .capacity = { .accelerators = accelerators } } } };
    }

    std::set<std::size_t> selectAt(const std::vector<BatchUnit>& units, seconds time)
    {
        return ServiceAging().select(units, makeWorkers(1'000), begin + time, [](const BatchUnit&) { return true; });
    }

} // namespace

// Guards against a gang without a bound on its wait, and against one that displaces others before it has waited long.
TEST(ServiceAging, GangIsDueAfterAShareOfTheTimeInWhichItsResultHasValue)
{
    std::vector<BatchUnit> units { makeGang("a", seconds(0)) };
    EXPECT_TRUE(selectAt(units, seconds(17)).empty());
    EXPECT_EQ(selectAt(units, seconds(18)), std::set<std::size_t> { 0 });
}

// Guards against a step that is due at once because its job was late before the step became ready.
TEST(ServiceAging, StepOfALateJobWaitsForAShareOfItsEstimate)
{
    std::vector<BatchUnit> units { makeGang("a", seconds(0)) };
    units[0].readySince = units[0].hardDeadline;
    EXPECT_TRUE(selectAt(units, seconds(32)).empty());
    EXPECT_EQ(selectAt(units, seconds(33)), std::set<std::size_t> { 0 });
}

// Guards against a gang that the workers cannot hold and that keeps the place of one that they can, and against single
// tasks that displace others.
TEST(ServiceAging, GangThatCannotFitAndSingleTasksAreNotDue)
{
    std::vector<BatchUnit> units { makeGang("tasks", seconds(0)), makeGang("large", seconds(1)),
        makeGang("small", seconds(2)) };
    units[0].gang = false;
    auto mayFit = [](const BatchUnit& unit) { return unit.job != state::JobId("large"); };
    EXPECT_EQ(
        ServiceAging().select(units, makeWorkers(1'000), begin + seconds(90), mayFit), std::set<std::size_t> { 2 });
}

// Answers lasting overload: after the start of an old gang the next one of its priority is due only after a pause, so
// that old gangs do not take the capacity of all units that can meet their objective.
TEST(ServiceAging, StartOfAnOldGangDelaysTheNextOfItsPriority)
{
    ServiceAging aging({ .pauseFactor = 4 });
    std::vector<BatchUnit> units { makeGang("a", seconds(0)), makeGang("b", seconds(0), 2) };
    auto mayFit = [](const BatchUnit&) { return true; };
    aging.recordStart(makeGang("young", seconds(30)), begin + seconds(40));
    EXPECT_EQ(aging.select(units, makeWorkers(1'000), begin + seconds(40), mayFit), (std::set<std::size_t> { 0, 1 }));
    aging.recordStart(makeGang("old", seconds(0)), begin + seconds(40));
    EXPECT_EQ(aging.select(units, makeWorkers(1'000), begin + seconds(55), mayFit), std::set<std::size_t> { 1 });
    EXPECT_EQ(aging.select(units, makeWorkers(1'000), begin + seconds(56), mayFit), (std::set<std::size_t> { 0, 1 }));
}

// Answers lasting overload: old gangs that together exceed the workers do not displace the units that can meet their
// objective. Those of another priority, and those that the workers cannot hold, do not count.
TEST(ServiceAging, NoGangIsDueWhileTheOldOnesExceedTheWorkers)
{
    std::vector<BatchUnit> units { makeGang("a", seconds(0)), makeGang("b", seconds(1)),
        makeGang("other", seconds(0), 2) };
    auto mayFit = [](const BatchUnit& unit) { return unit.job != state::JobId("large"); };
    auto select = [&](std::int64_t accelerators) {
        return ServiceAging().select(units, makeWorkers(accelerators), begin + seconds(60), mayFit);
    };
    EXPECT_EQ(select(15), std::set<std::size_t> { 2 });
    EXPECT_EQ(select(16), (std::set<std::size_t> { 0, 2 }));
    units.push_back(makeGang("large", seconds(0)));
    EXPECT_EQ(select(16), (std::set<std::size_t> { 0, 2 }));
}

// Answers lasting overload, in which most gangs miss their objective: of each priority only the oldest is due, so that
// the others leave the capacity to the units that can meet theirs.
RC_GTEST_PROP(ServiceAging, OnlyTheOldestGangOfAPriorityIsDue, ())
{
    std::vector<BatchUnit> units;
    for (int number = *rc::gen::inRange(1, 40); number > 0; --number)
        units.push_back(makeGang(std::to_string(number), seconds(*rc::gen::inRange(0, 60)), *rc::gen::inRange(0, 3)));
    std::set<std::size_t> due = selectAt(units, seconds(60));
    std::set<int> priorities;
    for (std::size_t index : due) {
        RC_ASSERT(priorities.insert(units[index].priority).second);
        for (const BatchUnit& other : units)
            RC_ASSERT(other.priority != units[index].priority || other.readySince >= units[index].readySince);
    }
}

} // namespace lentilsaddle::coordination::batch
