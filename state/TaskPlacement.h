/// @file
/// Accelerators of one worker that a gang uses.
#pragma once

#include "state/Identifier.h"

#include <vector>

namespace lentilsaddle::state {

struct TaskPlacement {
    WorkerId worker;
    /// Indexes of the accelerators on the worker, ascending.
    std::vector<int> accelerators;

    bool operator==(const TaskPlacement&) const = default;
};

} // namespace lentilsaddle::state
