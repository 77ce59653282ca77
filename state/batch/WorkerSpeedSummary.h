/// @file
/// Learned speeds of workers, as stored.
#pragma once

#include "state/Identifier.h"

#include <cstdint>
#include <vector>

namespace lentilsaddle::state::batch {

/// Speeds of the workers that are known best.
struct WorkerSpeedSummary {
    struct Entry {
        WorkerId worker;
        std::int64_t incarnation = 0;
        /// Logarithm of the run time relative to the usual worker, in thousandths.
        int logarithm = 0;
        /// Its standard deviation, in thousandths.
        int deviation = 0;

        bool operator==(const Entry&) const = default;
    };

    std::vector<Entry> entries;

    bool operator==(const WorkerSpeedSummary&) const = default;
};

} // namespace lentilsaddle::state::batch
