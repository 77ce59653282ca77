/// @file
/// Number and adjacency of the accelerators of a gang.
#pragma once

#include "state/Adjacency.h"

namespace lentilsaddle::state {

/// Tasks in the largest gang.
constexpr int maximumGangTasks = 64;
/// Accelerators in the largest worker.
constexpr int maximumAcceleratorsPerTask = 8;

struct GangShape {
    int tasks = 1;
    int acceleratorsPerTask = 1;
    Adjacency adjacency = Adjacency::DataCentre;

    int accelerators() const { return tasks * acceleratorsPerTask; }
    bool operator==(const GangShape&) const = default;
};

} // namespace lentilsaddle::state
