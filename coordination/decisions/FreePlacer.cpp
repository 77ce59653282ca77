#include "coordination/decisions/FreePlacer.h"

#include "coordination/decisions/GangFit.h"

namespace lentilsaddle::coordination {

FreePlacer::FreePlacer(const state::PlacementState& placement)
    : m_view(placement)
    , m_filter(m_view)
    , m_picker(m_view)
    , m_free(m_view.freeRoom())
{
}

std::optional<PlacementPlan::Start> FreePlacer::place(const QueuedJob& job)
{
    return placeIn(job, m_free);
}

std::optional<PlacementPlan::Start> FreePlacer::placeOutside(
    const QueuedJob& job, const std::vector<GangTask>& reserved)
{
    WorkerRoom room = m_free;
    subtract(room, reserved);
    return placeIn(job, room);
}

std::optional<Reservation> FreePlacer::reserve(const QueuedJob& job, state::MonotonicTime now) const
{
    WorkerRoom free = m_filter.permitted(job, m_free);
    WorkerRoom capacity = m_filter.permitted(job, m_view.capacity());
    return soonestReservation(m_view, job.specification.shape, { .easy = free, .whole = capacity }, now);
}

std::optional<PlacementPlan::Start> FreePlacer::placeIn(const QueuedJob& job, const WorkerRoom& room)
{
    auto fit = bestGangFit(m_view, job.specification.shape, m_filter.permitted(job, room));
    if (!fit)
        return std::nullopt;
    subtract(m_free, fit->tasks);
    return PlacementPlan::Start { .job = job.specification.id, .placements = m_picker.pick(fit->tasks) };
}

} // namespace lentilsaddle::coordination
