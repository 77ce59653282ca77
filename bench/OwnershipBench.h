/// @file
/// Placement of large gangs from one view against views that are split over owners.
#pragma once

#include <cstdint>
#include <ostream>

namespace lentilsaddle::bench {

struct OwnershipBenchOptions {
    std::uint32_t firstSeed = 1;
    int seeds = 5;
    double load = 0.85;
};

/// Writes the share of gangs of 64 and 32 tasks that find a place on arrival, for one owner and for racks split over 2,
/// 3 and 6 owners by rendezvous hashing. All views see the same occupancy; a gang may try every owner.
void runOwnershipBench(const OwnershipBenchOptions& options, std::ostream& output);

} // namespace lentilsaddle::bench
