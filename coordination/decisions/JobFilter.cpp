#include "coordination/decisions/JobFilter.h"

#include "coordination/decisions/GangFit.h"

#include <utility>

namespace lentilsaddle::coordination {

JobFilter::JobFilter(const ClusterView& view)
    : m_view(view)
    , m_capacity(view.capacity())
{
}

bool JobFilter::fitsWhenIdle(const QueuedJob& job)
{
    const state::GangShape& shape = job.specification.shape;
    auto [entry, added]
        = m_fitsWhenIdle.try_emplace({ shape.tasks, shape.acceleratorsPerTask, shape.adjacency }, false);
    if (added)
        entry->second = bestGangFit(m_view, shape, m_capacity).has_value();
    return entry->second;
}

AcceleratorCounts JobFilter::permitted(const QueuedJob& job, const AcceleratorCounts& capacity) const
{
    if (job.avoidedWorkers.empty() || !bestGangFit(m_view, job.specification.shape, withoutAvoided(job, m_capacity)))
        return capacity;
    return withoutAvoided(job, capacity);
}

AcceleratorCounts JobFilter::withoutAvoided(const QueuedJob& job, AcceleratorCounts capacity) const
{
    for (const state::WorkerId& id : job.avoidedWorkers) {
        int worker = m_view.workerIndex(id);
        if (worker >= 0)
            capacity[static_cast<std::size_t>(worker)] = 0;
    }
    return capacity;
}

} // namespace lentilsaddle::coordination
