#include "state/batch/BatchJobEntry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace lentilsaddle::state::batch {

namespace {

    const JobId jobId { "00000000000000aa" };

    BatchJob makeGang(int members, int occurrences)
    {
        return {
            .id = jobId,
            .queue = { .name = "q", .service = ServiceId("s"), .maximumAttempts = 1'000'000 },
            .steps = { { .taskCount = members, .gang = true }, { .taskCount = members, .gang = true } },
            .occurrences = occurrences,
        };
    }

} // namespace

// Guards against a gang that fails before its last attempt, or is attempted more often, because members that ended as
// failed in one run are counted more than once or not at all. Ends are listed in any order and more than once.
RC_GTEST_PROP(GangFailure, EachFailedRunOfAGangCountsOnce, ())
{
    int members = *rc::gen::inRange(1, 5);
    int occurrences = *rc::gen::inRange(1, 3);
    BatchJobEntry entry(makeGang(members, occurrences));
    // Failed runs by occurrence and step.
    std::map<std::pair<int, int>, std::set<std::int64_t>> model;
    int ends = *rc::gen::inRange(0, 30);
    for (int end = 0; end < ends; ++end) {
        BatchTaskId task {
            .job = jobId,
            .occurrence = *rc::gen::inRange(0, occurrences),
            .step = *rc::gen::inRange(0, 2),
            .index = *rc::gen::inRange(0, members),
        };
        std::int64_t run = *rc::gen::inRange(1, 6);
        BatchTaskState failed = entry.task(task);
        failed.run = std::max(failed.run, run);
        failed.addFailedRun(run);
        entry.setTaskState(task, failed, static_cast<std::uint64_t>(end) + 1);
        model[{ task.occurrence, task.step }].insert(run);
    }
    for (const auto& [gang, runs] : model) {
        BatchTaskId first { .job = jobId, .occurrence = gang.first, .step = gang.second };
        RC_ASSERT(entry.failures(first) == static_cast<int>(runs.size()));
    }
}

// Guards against attempts that are forgotten when the records of an earlier version are read, which name only the last
// failed run of a member.
TEST(GangFailure, RecordsOfEarlierVersionsKeepTheCountOfEachMember)
{
    BatchJobEntry entry(makeGang(2, 1));
    BatchTaskId first { .job = jobId };
    BatchTaskId second { .job = jobId, .index = 1 };
    entry.setTaskState(first, { .run = 3, .failures = 3, .failedRuns = { 3 } }, 1);
    entry.setTaskState(second, { .run = 3, .failures = 1, .failedRuns = { 3 } }, 2);
    EXPECT_EQ(entry.failures(first), 3);
}

} // namespace lentilsaddle::state::batch
