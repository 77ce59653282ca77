/// @file
/// Placement of large gangs by one scheduler with a view of all racks, compared with racks split over several owners.
#pragma once

#include <cstdint>
#include <ostream>

namespace lentilsaddle::bench {

struct OwnershipBenchOptions {
    std::uint32_t firstSeed = 1;
    int seeds = 5;
    double load = 0.85;
};

/// Writes the share of gangs of 64 and 32 tasks that can be placed on arrival, for one owner and for racks split over
/// 2, 3 and 6 owners by rendezvous hashing. All are evaluated on the same allocations; a gang may try every owner.
void runOwnershipBench(const OwnershipBenchOptions& options, std::ostream& output);

} // namespace lentilsaddle::bench
