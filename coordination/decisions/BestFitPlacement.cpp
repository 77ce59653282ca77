#include "coordination/decisions/BestFitPlacement.h"

#include "coordination/decisions/BaselinePlacer.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/QueuedJob.h"

namespace lentilsaddle::coordination {

PlacementPolicy bestFitPlacement()
{
    return [](const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime) {
        BaselinePlacer placer(placement);
        PlacementPlan plan;
        for (const QueuedJob& job : queue) {
            if (auto start = placer.place(job))
                plan.starts.push_back(*start);
        }
        return plan;
    };
}

} // namespace lentilsaddle::coordination
