#include "coordination/decisions/batch/HandoverPolicy.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    state::MonotonicTime at(int milliseconds)
    {
        return state::MonotonicTime(std::chrono::seconds(1'000) + std::chrono::milliseconds(milliseconds));
    }

    constexpr HandoverPolicy::Options options {
        .settleTime = milliseconds(10'000),
        .minimumPause = milliseconds(1'000),
        .maximumPause = milliseconds(4'000),
    };

} // namespace

// Guards against two instances that hand the leadership to and fro because one of them cannot claim it.
TEST(HandoverPolicy, PauseAfterFailedHandoversDoublesUpToItsMaximum)
{
    HandoverPolicy policy(options);
    int now = 0;
    for (int pause : { 1'000, 2'000, 4'000, 4'000 }) {
        EXPECT_TRUE(policy.allowed(at(now)));
        policy.onHandover(at(now));
        policy.onElected(at(now + 500));
        now += 500 + pause;
        EXPECT_FALSE(policy.allowed(at(now - 1)));
    }
    EXPECT_TRUE(policy.allowed(at(now)));
}

// Guards against an instance with few processors that leads on because a handover long ago had failed.
TEST(HandoverPolicy, HandoverAfterWhichAnotherInstanceLedForLongHasNotFailed)
{
    HandoverPolicy policy(options);
    policy.onHandover(at(0));
    policy.onElected(at(500));
    EXPECT_FALSE(policy.allowed(at(600)));
    policy.onHandover(at(2'000));
    policy.onElected(at(12'000));
    EXPECT_TRUE(policy.allowed(at(12'000)));
}

// Guards against a pause after an election that follows no handover.
TEST(HandoverPolicy, ElectionWithoutAHandoverAllowsOne)
{
    HandoverPolicy policy(options);
    policy.onElected(at(0));
    EXPECT_TRUE(policy.allowed(at(0)));
}

} // namespace lentilsaddle::coordination::batch
