#include "coordination/decisions/CellPlacement.h"

#include "coordination/decisions/CellPlanner.h"

namespace lentilsaddle::coordination {

PlacementPolicy makeCellPlacement(const CellPlacementOptions& options)
{
    return [options](const state::PlacementState& placement, const std::vector<QueuedJob>& queue,
               state::MonotonicTime now) { return CellPlanner(placement, queue, now, options).plan(); };
}

} // namespace lentilsaddle::coordination
