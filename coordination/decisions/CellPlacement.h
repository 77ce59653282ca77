/// @file
/// Placement policy that honours guarantees by buddy cells.
#pragma once

#include "coordination/decisions/PlacementPolicy.h"

namespace lentilsaddle::coordination {

struct CellPlacementOptions {
    /// Weight of completion time against fragmentation, 0 to 1 (`completion_weight`). A higher weight reserves
    /// accelerators for fewer waiting jobs at a time, and lets jobs that are declared to end in time backfill them.
    /// Below 0.5, jobs within their guarantee go to the fullest workers rather than to the account's own cells.
    double completionWeight = 0.5;
    /// Jobs that may be started ahead of an earlier submitted one, apart from jobs within their account's guarantee.
    int maximumBypass = 32;
};

/// Creates the cell placement policy.
///
/// - Jobs within their account's guarantee start first, urgent ones before others, and preempt borrowers if they do not
///   fit on free accelerators. They start only where every account's remaining guaranteed shapes stay reclaimable.
/// - Other jobs borrow free accelerators in submission order. The first one that does not fit gets a reservation on the
///   accelerators that become free soonest; later jobs may bypass it a bounded number of times.
PlacementPolicy makeCellPlacement(const CellPlacementOptions& options);

} // namespace lentilsaddle::coordination
