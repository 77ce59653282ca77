#include "coordination/decisions/StrictFifoPlacement.h"

#include "coordination/decisions/BaselinePlacer.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/QueuedJob.h"

namespace lentilsaddle::coordination {

PlacementPolicy strictFifoPlacement()
{
    return [](const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime) {
        BaselinePlacer placer(placement);
        PlacementPlan plan;
        for (const QueuedJob& job : queue) {
            auto start = placer.place(job);
            if (start)
                plan.starts.push_back(*start);
            else if (placer.possible(job))
                break;
        }
        return plan;
    };
}

} // namespace lentilsaddle::coordination
