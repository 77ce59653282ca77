#include "coordination/decisions/batch/BatchPlanner.h"
#include "coordination/decisions/batch/RemainingRunTime.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

namespace {

    using state::batch::Resources;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Resources wholeWorker { .milliCores = 32'000, .memoryMegabytes = 65'536, .accelerators = 8 };
    constexpr std::size_t workerCount = 10;
    constexpr std::size_t busyWorkers = 4;
    constexpr state::MonotonicTime start { seconds(1'000) };

    BatchUnit makeUnit(const std::string& job, int tasks, std::int64_t accelerators, milliseconds runTime)
    {
        BatchUnit unit {
            .job = state::JobId(job),
            .resources = { .milliCores = accelerators * 1'000, .memoryMegabytes = 1'000, .accelerators = accelerators },
            .service = state::ServiceId("s"),
            .priority = 2,
            .deadline = start + seconds(300),
            .hardDeadline = start + seconds(900),
            .readySince = start,
            .estimate = runTime,
            .runTime = runTime,
        };
        for (int index = 0; index < tasks; ++index)
            unit.indices.push_back(index);
        return unit;
    }

    // A gang that needs more workers than are idle.
    BatchUnit makeGang(int tasks = 7)
    {
        BatchUnit gang = makeUnit("gang", tasks, wholeWorker.accelerators, seconds(20));
        gang.gang = true;
        gang.priority = 1;
        return gang;
    }

    void addRun(PlanInput& input, std::size_t worker, const BatchUnit& unit, const WorkerView::Run& run)
    {
        WorkerView& view = input.workers[worker];
        view.free -= unit.resources;
        view.freeAfterStops -= unit.resources;
        view.runs.push_back(run);
        view.runs.back().resources = unit.resources;
        view.runs.back().group = input.groups.size();
        input.groups.push_back({ .priority = unit.priority, .backfilled = run.backfilled });
    }

    /// Ten workers, of which four are busy until a time, and a gang that needs seven.
    PlanInput makeInput(state::MonotonicTime now, milliseconds busyFor)
    {
        PlanInput input { .now = now };
        for (std::size_t worker = 0; worker < workerCount; ++worker)
            input.workers.push_back({
                .worker = { .id = state::WorkerId("w" + std::to_string(worker)),
                    .service = state::ServiceId("s"),
                    .capacity = wholeWorker },
                .free = wholeWorker,
                .freeAfterStops = wholeWorker,
            });
        for (std::size_t worker = 0; worker < busyWorkers; ++worker)
            addRun(input, worker, makeUnit("busy", 1, wholeWorker.accelerators, seconds(0)),
                { .expectedEnd = now + busyFor });
        input.units.push_back(makeGang());
        return input;
    }

    BatchPlan plan(const PlanInput& input)
    {
        return BatchPlanner({}, input).plan();
    }

    // Number of placed tasks of the second unit, which waits behind the gang.
    std::size_t lentTo(PlanInput input, BatchUnit unit)
    {
        input.units.push_back(std::move(unit));
        std::vector<Placement> placements = plan(input).placements;
        return static_cast<std::size_t>(std::ranges::count_if(
            placements, [](const Placement& placement) { return placement.unit == 1 && placement.backfilled; }));
    }

} // namespace

// Guards against idle workers that are kept for a gang although others would be done long before it can start.
TEST(Backfill, UnitThatEndsBeforeTheGangCanStartUsesItsWorkers)
{
    PlanInput input = makeInput(start + seconds(2), seconds(100));
    EXPECT_EQ(lentTo(input, makeUnit("small", 1, 1, seconds(2))), 1U);
    EXPECT_EQ(lentTo(input, makeUnit("longer", 1, 8, seconds(30))), 1U);
    EXPECT_EQ(lentTo(input, makeUnit("step", 12, 3, seconds(10))), 12U);
    BatchUnit gang = makeUnit("small gang", 2, 8, seconds(10));
    gang.gang = true;
    EXPECT_EQ(lentTo(input, gang), 2U);
}

// Guards against a gang that waits for a unit which was let before it.
TEST(Backfill, UnitThatWouldDelayTheGangWaits)
{
    PlanInput input = makeInput(start + seconds(2), seconds(5));
    EXPECT_EQ(lentTo(input, makeUnit("long", 1, 1, seconds(20))), 0U);
    EXPECT_EQ(lentTo(input, makeUnit("unknown", 1, 1, seconds(0))), 0U);
}

// Guards against workers that are idle for ever because no estimate tells when the rest becomes free.
TEST(Backfill, MostlyIdleWorkersAreLentAfterAWaitWhateverTheEstimates)
{
    BatchUnit unit = makeUnit("long", 1, 1, seconds(200));
    EXPECT_EQ(lentTo(makeInput(start + seconds(4), seconds(100)), unit), 0U);
    EXPECT_EQ(lentTo(makeInput(start + seconds(5), seconds(100)), unit), 1U);
    PlanInput busy = makeInput(start + seconds(5), seconds(100));
    addRun(busy, busyWorkers, makeUnit("busy", 1, 8, seconds(0)), { .expectedEnd = busy.now + seconds(100) });
    EXPECT_EQ(lentTo(busy, unit), 0U) << "half of the accelerators are in use";
    BatchUnit small = makeUnit("small", 1, 1, seconds(2));
    EXPECT_EQ(lentTo(busy, small), 0U);
    busy.now = start + seconds(10);
    EXPECT_EQ(lentTo(busy, small), 1U) << "a wait among busy workers has no end";
    unit.priority = 0;
    unit.deadline = start;
    unit.hardDeadline = start;
    EXPECT_EQ(lentTo(makeInput(start + seconds(5), seconds(100)), unit), 0U) << "it could not be stopped";
}

// Guards against further units on the workers of a gang while a run there shows that estimates are wrong.
TEST(Backfill, NothingIsLentBesideAnOverdueRun)
{
    PlanInput input = makeInput(start + seconds(2), seconds(100));
    for (std::size_t worker = busyWorkers; worker < workerCount; ++worker)
        addRun(input, worker, makeUnit("liar", 1, 1, seconds(2)),
            { .expectedEnd = input.now + seconds(1), .overdue = true, .backfilled = true });
    EXPECT_EQ(lentTo(input, makeUnit("small", 1, 1, seconds(2))), 0U);
}

// Guards against a gang that loses its place to a stream of jobs that say 2 s and take 20.
TEST(Backfill, GangIsDelayedOnlyShortlyByUnitsThatOutlastTheirEstimates)
{
    constexpr milliseconds step { 100 };
    constexpr milliseconds stopTime { 400 };
    constexpr state::MonotonicTime busyUntil = start + seconds(20);
    struct Run {
        std::size_t worker = 0;
        state::MonotonicTime begin {};
        state::MonotonicTime end {};
        bool backfilled = false;
        bool stopping = false;
    };
    std::vector<Run> runs;
    std::optional<state::MonotonicTime> delayedSince;
    std::optional<state::MonotonicTime> gangStart;
    std::size_t lent = 0;
    for (state::MonotonicTime now = start + seconds(2); !gangStart && now < start + seconds(60); now += step) {
        PlanInput input
            = makeInput(now, std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(busyUntil - now)));
        if (now >= busyUntil) {
            input = makeInput(now, seconds(0));
            for (std::size_t worker = 0; worker < busyWorkers; ++worker) {
                input.workers[worker].free = input.workers[worker].freeAfterStops = wholeWorker;
                input.workers[worker].runs.clear();
            }
        }
        input.units[0].delayedSince = delayedSince;
        std::erase_if(runs, [&](const Run& run) { return run.end <= now; });
        std::size_t firstGroup = input.groups.size();
        BatchUnit liar = makeUnit("liar", 1, 1, seconds(2));
        for (const Run& run : runs) {
            addRun(input, run.worker, liar,
                { .stopping = run.stopping,
                    .expectedEnd = now
                        + remainingRunTime({ .elapsed = std::chrono::duration_cast<milliseconds>(now - run.begin),
                            .estimate = seconds(2) }),
                    .overdue = now - run.begin >= seconds(2),
                    .backfilled = run.backfilled });
            if (run.stopping)
                input.workers[run.worker].freeAfterStops += liar.resources;
        }
        liar.readySince = now;
        input.units.push_back(liar);
        BatchPlan result = plan(input);
        delayedSince = result.delayed.contains(0) ? std::optional(delayedSince.value_or(now)) : std::nullopt;
        for (const Preemption& preemption : result.preemptions) {
            runs[preemption.group - firstGroup].stopping = true;
            runs[preemption.group - firstGroup].end = now + stopTime;
        }
        for (const Placement& placement : result.placements) {
            if (placement.unit == 0)
                gangStart = now;
            else
                runs.push_back({ .worker = placement.worker,
                    .begin = now,
                    .end = now + seconds(20),
                    .backfilled = placement.backfilled });
            lent += placement.backfilled ? 1 : 0;
        }
    }
    ASSERT_TRUE(gangStart);
    EXPECT_LE(*gangStart, busyUntil + PlannerOptions().backfillDelay + stopTime + 2 * step);
    EXPECT_GT(lent, 0U);
}

// Guards against an expectation that never grows beyond a wrong estimate.
TEST(RemainingRunTime, FollowsProgressAndGrowsWithTheDelay)
{
    EXPECT_EQ(remainingRunTime({ .elapsed = seconds(10), .estimate = seconds(40) }), seconds(30));
    EXPECT_EQ(remainingRunTime({ .elapsed = seconds(10), .estimate = seconds(40), .percent = 50 }), seconds(10));
    EXPECT_EQ(remainingRunTime({ .elapsed = seconds(41), .estimate = seconds(40) }), seconds(10));
    EXPECT_EQ(remainingRunTime({ .elapsed = seconds(100), .estimate = seconds(40) }), seconds(60));
}

} // namespace lentilsaddle::coordination::batch
