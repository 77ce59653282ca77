#include "coordination/decisions/SchedulerElection.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace lentilsaddle::coordination {

namespace {

    using namespace std::chrono_literals;
    using state::InstanceId;
    using state::MonotonicTime;

    constexpr MonotonicTime now { 1h };

    SchedulerElection::View view(const std::string& self)
    {
        return { .self = InstanceId(self),
            .dataCentre = state::DataCentreId("dc"),
            .members = { InstanceId("e1"), InstanceId("e2"), InstanceId("e3") },
            .epoch = 4,
            .eligible = true };
    }

    MonotonicTime claimTime(const SchedulerElection::View& view)
    {
        SchedulerElection election(1s, 10s);
        return election.claimTime(view, now).value_or(MonotonicTime::max());
    }

} // namespace

// Guards against needless epochs, each of which fences every worker.
TEST(SchedulerElection, HealthySchedulerIsNotReplaced)
{
    EXPECT_EQ(claimTime(view("e1")), MonotonicTime::max());
}

// Guards against all instances claiming at once, and against none claiming.
TEST(SchedulerElection, CandidatesClaimInRankOrder)
{
    std::set<MonotonicTime> times;
    for (const char* name : { "e1", "e2", "e3" }) {
        SchedulerElection::View candidate = view(name);
        candidate.suspected = true;
        times.insert(claimTime(candidate));
    }
    EXPECT_EQ(times, (std::set<MonotonicTime> { now, now + 1s, now + 2s }));
}

// Guards against a claim by an instance that has not read the whole stream or is leaving.
TEST(SchedulerElection, IneligibleInstanceDoesNotClaim)
{
    SchedulerElection::View candidate = view("e1");
    candidate.vacant = true;
    candidate.eligible = false;
    EXPECT_EQ(claimTime(candidate), MonotonicTime::max());
}

// Guards against replacing a new scheduler because the lagging instance list does not contain it yet.
TEST(SchedulerElection, UnlistedSchedulerIsReplacedOnlyAfterADelay)
{
    SchedulerElection::View candidate = view("e1");
    candidate.unlisted = true;
    EXPECT_GE(claimTime(candidate), now + 10s);
}

// Guards against restarting the delay of a candidate at each event.
TEST(SchedulerElection, WaitCountsFromTheFirstSuspicion)
{
    SchedulerElection election(1s, 10s);
    SchedulerElection::View candidate = view("e1");
    candidate.suspected = true;
    auto first = election.claimTime(candidate, now);
    EXPECT_EQ(election.claimTime(candidate, now + 5s), first);
}

} // namespace lentilsaddle::coordination
