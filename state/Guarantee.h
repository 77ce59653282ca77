/// @file
/// Guaranteed shape of adjacent accelerators.
#pragma once

#include "state/Adjacency.h"
#include "state/Identifier.h"

namespace lentilsaddle::state {

/// A shape that its client account can reclaim at any time in one data centre. A guarantee never floats over data
/// centres, because a data centre that is cut off could not reclaim it.
struct Guarantee {
    DataCentreId dataCentre;
    /// Accelerators in one shape.
    int accelerators = 0;
    Adjacency adjacency = Adjacency::Rack;
    /// Number of such shapes.
    int count = 1;

    bool operator==(const Guarantee&) const = default;
};

} // namespace lentilsaddle::state
