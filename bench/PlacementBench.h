/// @file
/// Comparison of placement policies on the same arrivals.
#pragma once

#include "coordination/decisions/PlacementPolicy.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace lentilsaddle::bench {

struct NamedPolicy {
    std::string name;
    coordination::PlacementPolicy policy;
};

/// @param maximumBypass CellPlacementOptions::maximumBypass of the cell placements.
/// @return cell placement with both companies' completion weights (0.8 and 0.2), and all baselines.
std::vector<NamedPolicy> comparedPolicies(int maximumBypass);

struct PlacementBenchOptions {
    std::uint32_t firstSeed = 1;
    int seeds = 5;
    double load = 0.85;
    /// CellPlacementOptions::maximumBypass.
    int maximumBypass = 32;
};

/// Writes Markdown tables of the results over all seeds.
void runPlacementBench(const PlacementBenchOptions& options, std::ostream& output);

} // namespace lentilsaddle::bench
