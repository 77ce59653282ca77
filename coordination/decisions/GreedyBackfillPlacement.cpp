#include "coordination/decisions/GreedyBackfillPlacement.h"

#include "coordination/decisions/BaselinePlacer.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/QueuedJob.h"
#include "coordination/decisions/Reservation.h"

#include <optional>

namespace lentilsaddle::coordination {

PlacementPolicy greedyBackfillPlacement()
{
    return [](const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime now) {
        BaselinePlacer placer(placement);
        PlacementPlan plan;
        bool reserved = false;
        std::optional<Reservation> reservation;
        for (const QueuedJob& job : queue) {
            bool endsInTime = !reservation || job.specification.declaredRunTime <= reservation->delay;
            auto start = endsInTime ? placer.place(job) : placer.placeOutside(job, reservation->tasks);
            if (start) {
                plan.starts.push_back(*start);
            } else if (!reserved && placer.possible(job)) {
                reserved = true;
                reservation = placer.reserve(job, now);
            }
        }
        return plan;
    };
}

} // namespace lentilsaddle::coordination
