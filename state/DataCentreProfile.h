/// @file
/// Scheduling settings of one data centre.
#pragma once

#include "state/Identifier.h"

namespace lentilsaddle::state {

struct DataCentreProfile {
    DataCentreId id;
    /// Weight of completion time against fragmentation, 0 (only fragmentation) to 1 (only completion time).
    double completionWeight = 0.5;
    /// Accelerators installed, as declared by operators. Guarantees may not promise more; 0 means undeclared.
    int accelerators = 0;
    /// Accelerators in one rack; a guarantee adjacent in a rack may not exceed it. 0 means undeclared.
    int acceleratorsPerRack = 0;

    bool operator==(const DataCentreProfile&) const = default;
};

} // namespace lentilsaddle::state
