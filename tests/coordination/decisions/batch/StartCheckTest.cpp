#include "coordination/decisions/batch/StartCheck.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

namespace lentilsaddle::coordination::batch {

namespace {

    using state::WorkerId;
    using state::batch::Resources;

    DueStart makeStart(const std::string& worker, std::int64_t accelerators)
    {
        return { .worker = WorkerId(worker), .resources = { .accelerators = accelerators } };
    }

} // namespace

// Guards against giving back all tasks on a worker although only some of them no longer fit.
TEST(StartCheck, OnlyTheExcessIsGivenBack)
{
    std::vector<DueStart> starts { makeStart("w1", 2), makeStart("w1", 2), makeStart("w1", 2) };
    auto decisions
        = decideStarts(starts, { { WorkerId("w1"), { .available = true, .free = { .accelerators = -3 } } } }, false);
    EXPECT_EQ(std::count(decisions.begin(), decisions.end(), StartDecision::Start), 1);
}

// Guards against a gang of which only the members on other workers start.
TEST(StartCheck, GangStartsAsAWholeOrNotAtAll)
{
    std::vector<DueStart> starts { makeStart("w1", 1), makeStart("w2", 1) };
    std::map<WorkerId, StartCapacity> workers { { WorkerId("w1"), { .available = true } },
        { WorkerId("w2"), { .available = true, .free = { .accelerators = -1 } } } };
    EXPECT_EQ(decideStarts(starts, workers, true),
        (std::vector { StartDecision::GangIncomplete, StartDecision::InsufficientCapacity }));
    EXPECT_EQ(decideStarts(starts, workers, false),
        (std::vector { StartDecision::Start, StartDecision::InsufficientCapacity }));
}

// Guards against the start of a run that was preempted while its claim was being stored, which would be stopped at
// once.
TEST(StartCheck, WithdrawnRunIsNotStartedAndLeavesItsShare)
{
    std::vector<DueStart> starts { makeStart("w1", 4), makeStart("w1", 4) };
    starts.front().withdrawn = true;
    std::map<WorkerId, StartCapacity> workers { { WorkerId("w1"),
        { .available = true, .free = { .accelerators = -4 } } } };
    EXPECT_EQ(decideStarts(starts, workers, false), (std::vector { StartDecision::Withdrawn, StartDecision::Start }));
    EXPECT_EQ(
        decideStarts(starts, workers, true), (std::vector { StartDecision::Withdrawn, StartDecision::GangIncomplete }));
}

// Guards against a start of a task that needs none of the resource that its worker is short of.
TEST(StartCheck, WorkerShortOfAnyResourceGetsNothing)
{
    std::vector<DueStart> starts { makeStart("w1", 1) };
    EXPECT_EQ(decideStarts(starts, { { WorkerId("w1"), { .available = true, .free = { .milliCores = -1 } } } }, false),
        std::vector { StartDecision::InsufficientCapacity });
}

// Guards against a start on a worker that drains, is no longer listed or does not respond.
TEST(StartCheck, UnavailableWorkerGetsNothing)
{
    std::vector<DueStart> starts { makeStart("w1", 1) };
    std::map<WorkerId, StartCapacity> workers { { WorkerId("w1"), { .free = { .accelerators = 8 } } } };
    EXPECT_EQ(decideStarts(starts, workers, false), std::vector { StartDecision::WorkerUnavailable });
}

// Guards against a start in a data centre that was evacuated after the claim, and against a gang that starts without
// the members there.
TEST(StartCheck, EvacuatedDataCentreGetsNothing)
{
    std::vector<DueStart> starts { makeStart("w1", 1), makeStart("w2", 1) };
    std::map<WorkerId, StartCapacity> workers { { WorkerId("w1"), { .available = true, .evacuated = true } },
        { WorkerId("w2"), { .available = true } } };
    EXPECT_EQ(decideStarts(starts, workers, false),
        (std::vector { StartDecision::DataCentreEvacuated, StartDecision::Start }));
    EXPECT_EQ(decideStarts(starts, workers, true),
        (std::vector { StartDecision::DataCentreEvacuated, StartDecision::GangIncomplete }));
}

// Guards against starts that bring a worker over its capacity, and against giving tasks back although all fit.
RC_GTEST_PROP(StartCheck, StartsNeverExceedTheCapacity, ())
{
    std::int64_t capacity = *rc::gen::inRange(0, 9);
    std::int64_t running = *rc::gen::inRange(0, 9);
    std::vector<DueStart> starts;
    std::int64_t claimed = 0;
    for (int count = *rc::gen::inRange(1, 6); count > 0; --count) {
        starts.push_back(makeStart("w1", *rc::gen::inRange(1, 5)));
        claimed += starts.back().resources.accelerators;
    }
    std::vector<StartDecision> decisions = decideStarts(starts,
        { { WorkerId("w1"), { .available = true, .free = { .accelerators = capacity - running - claimed } } } }, false);
    std::int64_t used = running;
    for (std::size_t index = 0; index < starts.size(); ++index) {
        if (decisions[index] == StartDecision::Start)
            used += starts[index].resources.accelerators;
    }
    RC_ASSERT(used <= std::max(capacity, running));
    if (running + claimed <= capacity)
        RC_ASSERT(used == running + claimed);
}

} // namespace lentilsaddle::coordination::batch
