/// @file
/// Guarantee of adjacent accelerators to a client account.
#pragma once

#include "state/Adjacency.h"
#include "state/Identifier.h"

namespace lentilsaddle::state {

/// Shape of adjacent accelerators that a client account can reclaim at any time. A guarantee is bound to one data
/// centre and is not shared between several, because a partitioned data centre could not reclaim its part.
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
