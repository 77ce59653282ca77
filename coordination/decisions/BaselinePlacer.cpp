#include "coordination/decisions/BaselinePlacer.h"

#include "coordination/decisions/GangFit.h"

namespace lentilsaddle::coordination {

BaselinePlacer::BaselinePlacer(const state::PlacementState& placement)
    : m_view(placement)
    , m_filter(m_view)
    , m_picker(m_view)
    , m_free(m_view.freeAccelerators())
{
}

std::optional<PlacementPlan::Start> BaselinePlacer::place(const QueuedJob& job)
{
    return placeIn(job, m_free);
}

std::optional<PlacementPlan::Start> BaselinePlacer::placeOutside(
    const QueuedJob& job, const std::vector<GangTask>& reserved)
{
    AcceleratorCounts room = m_free;
    subtract(room, reserved);
    return placeIn(job, room);
}

std::optional<Reservation> BaselinePlacer::reserve(const QueuedJob& job, state::MonotonicTime now) const
{
    AcceleratorCounts free = m_filter.permitted(job, m_free);
    AcceleratorCounts capacity = m_filter.permitted(job, m_view.capacity());
    return soonestReservation(m_view, job.specification.shape, { .easy = free, .whole = capacity }, now);
}

std::optional<PlacementPlan::Start> BaselinePlacer::placeIn(const QueuedJob& job, const AcceleratorCounts& room)
{
    auto fit = bestGangFit(m_view, job.specification.shape, m_filter.permitted(job, room));
    if (!fit)
        return std::nullopt;
    subtract(m_free, fit->tasks);
    return PlacementPlan::Start { .job = job.specification.id, .placements = m_picker.pick(fit->tasks) };
}

} // namespace lentilsaddle::coordination
