#include "coordination/decisions/JobFilter.h"

#include "coordination/decisions/GangFit.h"

#include <utility>

namespace lentilsaddle::coordination {

JobFilter::JobFilter(const ClusterView& view)
    : m_view(view)
    , m_capacity(view.capacity())
{
}

bool JobFilter::possible(const QueuedJob& job)
{
    const state::GangShape& shape = job.specification.shape;
    auto [entry, added] = m_possible.try_emplace({ shape.tasks, shape.acceleratorsPerTask, shape.adjacency }, false);
    if (added)
        entry->second = bestGangFit(m_view, shape, m_capacity).has_value();
    return entry->second;
}

AcceleratorCounts JobFilter::permitted(const QueuedJob& job, const AcceleratorCounts& room) const
{
    if (job.avoidedWorkers.empty() || !bestGangFit(m_view, job.specification.shape, withoutAvoided(job, m_capacity)))
        return room;
    return withoutAvoided(job, room);
}

AcceleratorCounts JobFilter::withoutAvoided(const QueuedJob& job, AcceleratorCounts room) const
{
    for (const state::WorkerId& id : job.avoidedWorkers) {
        int worker = m_view.workerIndex(id);
        if (worker >= 0)
            room[static_cast<std::size_t>(worker)] = 0;
    }
    return room;
}

} // namespace lentilsaddle::coordination
