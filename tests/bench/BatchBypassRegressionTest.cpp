#include "bench/BatchBypassBench.h"

#include <gtest/gtest.h>

namespace lentilsaddle::bench {

// Guards against a gang that exceeds all workers and holds back other jobs, and against a remedy that lets small jobs
// bypass the gangs that can start: on the same arrivals, all waits are the same with and without it.
TEST(BatchBypassRegressionTest, OversizedGangChangesNoWait)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        BatchBypassResult without = simulateBatchBypass({ .seed = seed });
        BatchBypassResult with = simulateBatchBypass({ .seed = seed, .oversizedGang = true });
        EXPECT_EQ(with.started, with.arrived) << "seed " << seed;
        EXPECT_EQ(with.longestGangWait, without.longestGangWait) << "seed " << seed;
        EXPECT_EQ(with.largestBypass, without.largestBypass) << "seed " << seed;
        EXPECT_EQ(with.meanSmallWait, without.meanSmallWait) << "seed " << seed;
        EXPECT_EQ(with.longestSmallWait, without.longestSmallWait) << "seed " << seed;
    }
}

// Guards against a gang that could start and waits behind small jobs without a bound. The longest time in which the
// result of a gang has value here is 27 s; twice that leaves it the time to gather its workers behind one older gang.
TEST(BatchBypassRegressionTest, GangWaitsForAtMostTwiceTheTimeInWhichItsResultHasValue)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        for (bool lending : { false, true })
            EXPECT_LE(
                simulateBatchBypass({ .seed = seed, .lending = lending }).longestGangWait, std::chrono::seconds(54))
                << "seed " << seed << (lending ? ", lending" : "");
    }
}

} // namespace lentilsaddle::bench
