#include "coordination/decisions/batch/LeaderElection.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds failoverDelay { 2'000 };

    LeadershipView viewOf(std::optional<state::batch::LeaderRecord> leader)
    {
        return {
            .self = state::InstanceId("e-1"),
            .incarnation = 1,
            .leader = std::move(leader),
            .lastLeaderActivity = state::MonotonicTime(milliseconds(10'000)),
            .jitter = milliseconds(40),
        };
    }

} // namespace

// Guards against a claim while the leader's lease may still be valid.
TEST(LeaderElection, WaitsForTheFailoverDelayAfterTheLastLeaderRecord)
{
    auto view = viewOf(state::batch::LeaderRecord { .term = 3, .instance = state::InstanceId("e-2") });
    EXPECT_EQ(claimTime(view, failoverDelay), view.lastLeaderActivity + failoverDelay + view.jitter);
}

// Guards against seconds without a leader after a planned stop.
TEST(LeaderElection, ClaimsAVacantTermAtOnce)
{
    auto view = viewOf(state::batch::LeaderRecord { .term = 3, .instance = state::InstanceId("e-2"), .vacant = true });
    EXPECT_EQ(claimTime(view, failoverDelay), view.lastLeaderActivity + view.jitter);
}

// Guards against an instance with few processors that is the first to claim a vacant term.
TEST(LeaderElection, OutrankedInstanceClaimsLater)
{
    auto view = viewOf(std::nullopt);
    view.outrankedDelay = milliseconds(300);
    EXPECT_EQ(claimTime(view, failoverDelay), view.lastLeaderActivity + view.jitter + milliseconds(300));
    view.leader = state::batch::LeaderRecord { .term = 3, .instance = state::InstanceId("e-2") };
    EXPECT_EQ(
        claimTime(view, failoverDelay), view.lastLeaderActivity + failoverDelay + view.jitter + milliseconds(300));
}

// Guards against an instance with few processors that leads because all became eligible at the same time, long after
// the last leader record.
TEST(LeaderElection, OutrankedInstanceDelaysItsClaimFromEligibility)
{
    auto view = viewOf(std::nullopt);
    view.eligibleSince = view.lastLeaderActivity + milliseconds(5'000);
    view.outrankedDelay = milliseconds(300);
    EXPECT_EQ(claimTime(view, failoverDelay), view.eligibleSince + view.jitter + milliseconds(300));
}

// Guards against seconds without a leader after a restart of the leader's process.
TEST(LeaderElection, ClaimsAtOnceAfterItsOwnEarlierIncarnation)
{
    auto view
        = viewOf(state::batch::LeaderRecord { .term = 3, .instance = state::InstanceId("e-1"), .incarnation = 9 });
    EXPECT_EQ(claimTime(view, failoverDelay), view.lastLeaderActivity);
}

} // namespace lentilsaddle::coordination::batch
