#include "bench/OwnershipBench.h"
#include "bench/PlacementBench.h"
#include "bench/PlacementSimulation.h"
#include "bench/ScaleBench.h"
#include "coordination/decisions/CellPlacement.h"
#include "coordination/decisions/PlacementPlan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <sstream>

namespace lentilsaddle::bench {

namespace {

    constexpr int maximumBypass = 32;

    std::vector<Arrival> arrivals()
    {
        return makeArrivals({ .seed = 1, .length = std::chrono::hours(12) });
    }

} // namespace

// Guards against a policy that never starts some jobs: their missing completion times would favour it in the
// comparison.
TEST(PlacementRegressionTest, EveryPolicyFinishesEveryJob)
{
    for (const NamedPolicy& named : comparedPolicies(maximumBypass)) {
        SimulationResult result = PlacementSimulation(named.policy, arrivals()).run();
        std::size_t finished = 0;
        for (const auto& [size, values] : result.completion)
            finished += values.size();
        EXPECT_EQ(finished, arrivals().size()) << named.name;
    }
}

// Guards against missing two targets: a job is bypassed at most 32 times, and an urgent reclaim takes no longer than
// checkpoint limit and stop.
TEST(PlacementRegressionTest, CellPlacementLimitsBypassesAndReclaimTime)
{
    for (double weight : { 0.2, 0.8 }) {
        auto policy = coordination::makeCellPlacement({ .completionWeight = weight, .maximumBypass = maximumBypass });
        SimulationResult result = PlacementSimulation(policy, arrivals()).run();
        EXPECT_LE(result.largestBypass, maximumBypass);
        ASSERT_FALSE(result.urgentReclaim.empty());
        EXPECT_LE(*std::max_element(result.urgentReclaim.begin(), result.urgentReclaim.end()), preemptionTime);
    }
}

// Guards against split ownership that places more gangs than one view of all racks, which would invalidate the choice
// of one scheduler.
TEST(PlacementRegressionTest, OneViewPlacesAtLeastAsManyGangs)
{
    std::ostringstream output;
    runOwnershipBench({ .seeds = 1 }, output);
    std::istringstream lines(output.str());
    std::string line;
    int rows = 0;
    while (std::getline(lines, line)) {
        std::istringstream cells(line);
        std::string bar;
        std::string name;
        double gangs = 0;
        double one = 0;
        double two = 0;
        std::getline(cells, bar, '|');
        std::getline(cells, name, '|');
        if (!(cells >> gangs >> bar >> one >> bar >> two))
            continue;
        ++rows;
        EXPECT_GE(one, two) << line;
    }
    EXPECT_EQ(rows, 6);
}

// Guards against a decision whose cost grows with the square of the workers, which would exceed 0.2 s at
// 3,900 workers.
TEST(PlacementRegressionTest, DecisionGrowsLessThanQuadratically)
{
    auto policy = coordination::makeCellPlacement({});
    auto fastest = [&policy](int workers) {
        ScaleCase scale = makeScaleCase(workers, 100);
        std::clock_t best = 0;
        for (int i = 0; i < 5; ++i) {
            std::clock_t begin = std::clock();
            coordination::PlacementPlan plan = policy(scale.placement, scale.queue, state::MonotonicTime());
            std::clock_t used = std::clock() - begin;
            EXPECT_FALSE(plan.preemptions.empty());
            best = i == 0 ? used : std::min(best, used);
        }
        return static_cast<double>(best);
    };
    constexpr double sizeRatio = 3900.0 / 480.0;
    EXPECT_LT(fastest(3900), fastest(480) * sizeRatio * sizeRatio);
}

} // namespace lentilsaddle::bench
