#include "coordination/decisions/batch/ServiceAging.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::seconds;
    using Selection = std::set<std::size_t>;

    constexpr state::MonotonicTime begin { seconds(1'000) };
    const state::ServiceId service("service");

    // A gang whose result has value for 30 s after it became ready.
    BatchUnit makeGang(const std::string& job, seconds readyAfter, int priority = 1)
    {
        return {
            .job = state::JobId(job),
            .indices = { 0, 1 },
            .resources = { .accelerators = 4 },
            .gang = true,
            .service = service,
            .priority = priority,
            .deadline = begin + readyAfter + seconds(10),
            .hardDeadline = begin + readyAfter + seconds(30),
            .readySince = begin + readyAfter,
            .estimate = seconds(4),
        };
    }

    std::vector<WorkerView> makeWorkers(std::int64_t accelerators)
    {
        return { { .worker = { .service = service, .capacity = { .accelerators = accelerators } } } };
    }

    ServiceAging::StepKey stepOf(const BatchUnit& unit)
    {
        return { unit.job, unit.occurrence, unit.step };
    }

    bool fits(const BatchUnit& unit)
    {
        return unit.job != state::JobId("large");
    }

    // Units that have waited since they became ready.
    struct Fixture {
        explicit Fixture(std::vector<BatchUnit> initialUnits)
            : units(std::move(initialUnits))
        {
            for (const BatchUnit& unit : units)
                aging.recordWaiting({ unit }, unit.readySince);
        }

        Selection select(seconds time)
        {
            return aging.select(units, workers, begin + time, [this](const BatchUnit& unit) {
                ++searches;
                return fits(unit);
            });
        }

        // Selects and records the selection, as a planning round does.
        Selection planRound(seconds time)
        {
            Selection selected = select(time);
            aging.recordSelection(units, selected, begin + time);
            return selected;
        }

        void start(std::size_t index, seconds runTime, seconds time)
        {
            aging.recordStart(stepOf(units[index]), runTime, begin + time);
        }

        ServiceAging aging;
        std::vector<BatchUnit> units;
        std::vector<WorkerView> workers = makeWorkers(10'000);
        int searches = 0;
    };

} // namespace

// Guards against a gang without a bound on its wait, and against one that displaces others before it has waited long.
TEST(ServiceAging, GangIsDueAfterAShareOfTheTimeInWhichItsResultHasValue)
{
    Fixture fixture({ makeGang("a", seconds(0)) });
    EXPECT_EQ(fixture.select(seconds(17)), Selection {});
    EXPECT_EQ(fixture.select(seconds(18)), Selection { 0 });
}

// Guards against a step that is due at once because its job was late before the step became ready.
TEST(ServiceAging, StepOfALateJobWaitsForAShareOfItsEstimate)
{
    BatchUnit gang = makeGang("a", seconds(0));
    gang.readySince = gang.hardDeadline;
    Fixture fixture({ gang });
    EXPECT_EQ(fixture.select(seconds(32)), Selection {});
    EXPECT_EQ(fixture.select(seconds(33)), Selection { 0 });
}

// Guards against a gang that the workers cannot hold and that keeps the place of one that they can, and against single
// tasks that displace others.
TEST(ServiceAging, GangThatCannotFitAndSingleTasksAreNotDue)
{
    BatchUnit tasks = makeGang("tasks", seconds(0));
    tasks.gang = false;
    BatchUnit large = makeGang("large", seconds(1));
    large.requiredLabel = "absent";
    Fixture fixture({ tasks, large, makeGang("small", seconds(2)) });
    EXPECT_EQ(fixture.select(seconds(90)), Selection { 2 });
}

// Answers lasting overload: after the start of a selected gang the next one of its priority is due only after a pause,
// so that old gangs do not take the capacity of all units that can meet their objective.
TEST(ServiceAging, StartOfASelectedGangDelaysTheNextOfItsPriority)
{
    Fixture fixture({ makeGang("a", seconds(0)), makeGang("b", seconds(1)), makeGang("c", seconds(0), 2) });
    fixture.units.back().estimate = seconds(60);
    EXPECT_EQ(fixture.planRound(seconds(40)), (Selection { 0, 2 }));
    fixture.start(0, seconds(4), seconds(40));
    fixture.units.erase(fixture.units.begin());
    EXPECT_EQ(fixture.select(seconds(55)), Selection { 1 });
    EXPECT_EQ(fixture.select(seconds(56)), (Selection { 0, 1 }));
}

// Guards against a pause after a gang that started by its rank and displaced no unit.
TEST(ServiceAging, StartOfAGangThatWasNotSelectedDelaysNone)
{
    Fixture fixture({ makeGang("a", seconds(0)), makeGang("b", seconds(1)) });
    EXPECT_EQ(fixture.planRound(seconds(40)), Selection { 0 });
    fixture.start(1, seconds(4), seconds(40));
    fixture.units.pop_back();
    EXPECT_EQ(fixture.select(seconds(41)), Selection { 0 });
}

// Guards against a short gang that ends the pause after a long one, and against a pause of the length of a whole job.
TEST(ServiceAging, LaterEndOfAPauseHolds)
{
    Fixture fixture({ makeGang("long", seconds(0)), makeGang("short", seconds(1)), makeGang("next", seconds(2)) });
    for (BatchUnit& unit : fixture.units)
        unit.estimate = seconds(40);
    EXPECT_EQ(fixture.planRound(seconds(30)), Selection { 0 });
    std::vector<BatchUnit> rest(fixture.units.begin() + 1, fixture.units.end());
    // Selected before the start of the first one was recorded.
    fixture.aging.recordSelection(rest, { 0 }, begin + seconds(30));
    fixture.start(0, seconds(10), seconds(31));
    fixture.start(1, seconds(1), seconds(32));
    fixture.units.erase(fixture.units.begin(), fixture.units.begin() + 2);
    EXPECT_EQ(fixture.select(seconds(70)), Selection {});
    EXPECT_EQ(fixture.select(seconds(71)), Selection { 0 });
}

// Guards against a gang that never gets its room, stays first in each round and keeps all other old gangs waiting.
TEST(ServiceAging, GangThatDoesNotStartIsPassedOverForAWhile)
{
    Fixture fixture({ makeGang("a", seconds(0)), makeGang("b", seconds(1)) });
    EXPECT_EQ(fixture.planRound(seconds(40)), Selection { 0 });
    EXPECT_EQ(fixture.planRound(seconds(43)), Selection { 0 });
    EXPECT_EQ(fixture.planRound(seconds(44)), Selection { 1 });
    EXPECT_EQ(fixture.planRound(seconds(48)), Selection {});
    EXPECT_EQ(fixture.planRound(seconds(59)), Selection {});
    EXPECT_EQ(fixture.planRound(seconds(60)), Selection { 0 });
    EXPECT_EQ(fixture.planRound(seconds(64)), Selection { 1 });
}

// Guards against a preference without an end, or without a begin, for a gang whose estimate is 0.
TEST(ServiceAging, GangWithoutAnEstimateIsSelectedForTheShortestPreference)
{
    Fixture fixture({ makeGang("a", seconds(0)) });
    fixture.units.front().estimate = seconds(0);
    EXPECT_EQ(fixture.planRound(seconds(40)), Selection { 0 });
    EXPECT_EQ(fixture.planRound(seconds(41)), Selection {});
    EXPECT_EQ(fixture.planRound(seconds(45)), Selection { 0 });
}

// Guards against a gang that ran for longer than a gang waits until it is old, and is old at once when it is broken.
TEST(ServiceAging, RunTimeIsNoWait)
{
    Fixture fixture({ makeGang("a", seconds(0)) });
    fixture.units.front().hardDeadline = begin + seconds(300);
    fixture.start(0, seconds(4), seconds(10));
    fixture.aging.recordWaiting(fixture.units, begin + seconds(200));
    EXPECT_EQ(fixture.select(seconds(200)), Selection {});
    EXPECT_EQ(fixture.select(seconds(259)), Selection {});
    EXPECT_EQ(fixture.select(seconds(260)), Selection { 0 });
}

// Guards against memory that grows with the jobs of a term.
TEST(ServiceAging, WaitsOfEndedJobsAreRemoved)
{
    Fixture fixture({ makeGang("a", seconds(0)), makeGang("b", seconds(1)) });
    fixture.aging.removeJobs([](const state::JobId& job) { return job == state::JobId("a"); });
    EXPECT_EQ(fixture.select(seconds(60)), Selection { 1 });
}

// Answers lasting overload: old gangs that together exceed the workers do not displace the units that can meet their
// objective. Those of another priority, and those that the workers cannot hold, do not count.
TEST(ServiceAging, NoGangIsDueWhileTheOldOnesExceedTheWorkers)
{
    BatchUnit large = makeGang("large", seconds(0));
    large.requiredLabel = "absent";
    BatchUnit huge = makeGang("huge", seconds(0));
    huge.resources.accelerators = 9;
    Fixture fixture(
        { makeGang("a", seconds(0)), makeGang("b", seconds(1)), makeGang("other", seconds(0), 2), large, huge });
    fixture.workers = makeWorkers(15);
    EXPECT_EQ(fixture.select(seconds(60)), Selection { 2 });
    fixture.workers = makeWorkers(16);
    EXPECT_EQ(fixture.select(seconds(60)), (Selection { 0, 2 }));
}

// Guards against services that share their limits although each has workers of its own: the overload of one, its
// oldest gang and its pause must not delay the gangs of another.
TEST(ServiceAging, ServicesDoNotAffectEachOther)
{
    BatchUnit other = makeGang("other", seconds(2));
    other.service = state::ServiceId("other");
    Fixture fixture({ makeGang("a", seconds(0)), makeGang("b", seconds(1)), other });
    fixture.workers = makeWorkers(8);
    fixture.workers.push_back(fixture.workers.front());
    fixture.workers.back().worker.service = other.service;
    EXPECT_EQ(fixture.planRound(seconds(60)), Selection { 2 });
    fixture.workers.front().worker.capacity.accelerators = 16;
    EXPECT_EQ(fixture.planRound(seconds(60)), (Selection { 0, 2 }));
    fixture.start(0, seconds(100), seconds(60));
    fixture.units.erase(fixture.units.begin());
    EXPECT_EQ(fixture.select(seconds(61)), Selection { 1 });
}

// Answers a queue of hundreds of old gangs beside thousands of workers, where each search covers all workers: gangs
// that need the same are searched for once a round, and no search is made that cannot change the selection.
TEST(ServiceAging, SearchesAreFew)
{
    std::vector<BatchUnit> unfit;
    std::vector<BatchUnit> distinct;
    for (int number = 0; number < 500; ++number) {
        unfit.push_back(makeGang("large", seconds(0)));
        unfit.back().occurrence = number;
        distinct.push_back(makeGang("small", seconds(number % 7)));
        distinct.back().occurrence = number;
        distinct.back().preferredRack = std::to_string(number);
    }
    Fixture same(unfit);
    EXPECT_EQ(same.select(seconds(60)), Selection {});
    EXPECT_EQ(same.searches, 1);
    Fixture fitting(distinct);
    EXPECT_EQ(fitting.planRound(seconds(60)), Selection { 0 });
    EXPECT_EQ(fitting.searches, 1);
    fitting.planRound(seconds(64));
    EXPECT_EQ(fitting.searches, 2);
    // Old gangs that exceed the workers are searched for only until this is known.
    Fixture overloaded(distinct);
    overloaded.workers = makeWorkers(80);
    EXPECT_EQ(overloaded.select(seconds(60)), Selection {});
    EXPECT_EQ(overloaded.searches, 11);
}

// Answers lasting overload, in which most gangs miss their objective: of each priority only the oldest is due, so that
// the others leave the capacity to the units that can meet theirs.
RC_GTEST_PROP(ServiceAging, OnlyTheOldestGangOfAPriorityIsDue, ())
{
    std::vector<BatchUnit> units;
    for (int number = *rc::gen::inRange(1, 40); number > 0; --number)
        units.push_back(makeGang(std::to_string(number), seconds(*rc::gen::inRange(0, 60)), *rc::gen::inRange(0, 3)));
    Selection due = Fixture(units).select(seconds(60));
    std::set<int> priorities;
    for (std::size_t index : due) {
        RC_ASSERT(priorities.insert(units[index].priority).second);
        for (const BatchUnit& other : units)
            RC_ASSERT(other.priority != units[index].priority || other.readySince >= units[index].readySince);
    }
}

} // namespace lentilsaddle::coordination::batch
