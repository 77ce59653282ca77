/// @file
/// Capacity that is kept for a unit while runs are stopped there.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

namespace lentilsaddle::coordination::batch {

/// Capacity of a worker for one task of a unit.
struct CapacityHold {
    state::JobId job;
    int occurrence = 0;
    int step = 0;
    state::WorkerId worker;
    state::MonotonicTime since {};

    bool operator==(const CapacityHold&) const = default;
};

} // namespace lentilsaddle::coordination::batch
