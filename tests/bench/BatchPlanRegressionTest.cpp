#include "bench/BatchPlanBench.h"

#include <gtest/gtest.h>

namespace lentilsaddle::bench {

namespace {

    // The leader may spend 4.8% of a core on the control of a data centre of 490 workers. With one round per 0.4 s, the
    // longest refresh interval, this leaves 19 ms for a round.
    constexpr std::chrono::milliseconds roundLimit { 19 };

} // namespace

// Guards against planning more slowly than work arrives: starts, stops and lease renewals then wait for the planner.
TEST(BatchPlanRegressionTest, RoundForADataCentreFitsIntoTheControlShare)
{
    EXPECT_LT(measureBatchPlan(makeBatchPlanCase(490), 5), roundLimit);
}

} // namespace lentilsaddle::bench
