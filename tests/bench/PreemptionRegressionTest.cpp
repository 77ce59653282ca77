#include "bench/PreemptionBench.h"

#include <gtest/gtest.h>

namespace lentilsaddle::bench {

// Answers waves of urgent gangs beside wide gangs and many small tasks: held capacity saves stops, and no class
// waits longer for it, up to a hundredth.
TEST(PreemptionRegressionTest, HeldCapacitySavesStops)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        PreemptionBenchResult without = simulatePreemption({ .seed = seed, .hold = false });
        PreemptionBenchResult with = simulatePreemption({ .seed = seed });
        EXPECT_LT(with.stoppedRuns, without.stoppedRuns) << "seed " << seed;
        EXPECT_LT(with.mostStops, without.mostStops) << "seed " << seed;
        EXPECT_LT(with.lostShare, without.lostShare) << "seed " << seed;
        EXPECT_LT(with.longestUrgentWait, without.longestUrgentWait) << "seed " << seed;
        for (std::size_t priority = 0; priority < PreemptionBenchResult::priorities; ++priority) {
            EXPECT_LE(with.incomplete.at(priority), without.incomplete.at(priority)) << "seed " << seed;
            EXPECT_LE(with.meanCompletion.at(priority), without.meanCompletion.at(priority) * 101 / 100)
                << "seed " << seed << ", priority " << priority;
        }
    }
}

} // namespace lentilsaddle::bench
