#include "coordination/decisions/ClusterView.h"

#include <algorithm>
#include <map>

namespace lentilsaddle::coordination {

ClusterView::ClusterView(const state::PlacementState& placement)
    : m_placement(&placement)
{
    addWorkers();
    addJobs();
}

AcceleratorCounts ClusterView::capacity() const
{
    AcceleratorCounts room;
    room.reserve(m_workers.size());
    for (const WorkerView& worker : m_workers)
        room.push_back(worker.capacity);
    return room;
}

AcceleratorCounts ClusterView::installed() const
{
    AcceleratorCounts room;
    room.reserve(m_workers.size());
    for (const WorkerView& worker : m_workers)
        room.push_back(worker.slots->worker.accelerators);
    return room;
}

int ClusterView::workerIndex(const state::WorkerId& id) const
{
    // The workers stand in the order of the state's map.
    auto found = std::lower_bound(m_workers.begin(), m_workers.end(), id,
        [](const WorkerView& worker, const state::WorkerId& sought) { return worker.slots->worker.id < sought; });
    if (found == m_workers.end() || found->slots->worker.id != id)
        return -1;
    return static_cast<int>(found - m_workers.begin());
}

void ClusterView::addWorkers()
{
    std::map<state::RackId, int> rackIndexes;
    m_workers.reserve(m_placement->workers().size());
    for (const auto& [id, slots] : m_placement->workers()) {
        auto rack = rackIndexes.emplace(slots.worker.rack, static_cast<int>(rackIndexes.size())).first->second;
        if (rack == static_cast<int>(m_racks.size()))
            m_racks.emplace_back();
        m_racks[static_cast<std::size_t>(rack)].push_back(static_cast<int>(m_workers.size()));
        m_workers.push_back(
            { .slots = &slots, .rack = rack, .capacity = slots.available ? slots.worker.accelerators : 0, .jobs = {} });
        auto unoccupied
            = std::count_if(slots.jobs.begin(), slots.jobs.end(), [](const state::JobId& job) { return job.empty(); });
        m_freeAccelerators.push_back(slots.available ? static_cast<int>(unoccupied) : 0);
    }
    for (std::vector<int>& rack : m_racks) {
        std::stable_sort(rack.begin(), rack.end(), [this](int left, int right) {
            return m_workers[static_cast<std::size_t>(left)].slots->worker.position
                < m_workers[static_cast<std::size_t>(right)].slots->worker.position;
        });
    }
}

void ClusterView::addJobs()
{
    m_jobs.reserve(m_placement->allocations().size());
    for (const auto& [id, occupant] : m_placement->allocations())
        m_jobs.push_back({ .id = &id, .occupant = &occupant, .tasks = {} });
    std::sort(m_jobs.begin(), m_jobs.end(),
        [](const JobView& left, const JobView& right) { return left.occupant->order < right.occupant->order; });
    for (std::size_t i = 0; i < m_jobs.size(); ++i) {
        for (const state::TaskPlacement& placement : m_jobs[i].occupant->placements) {
            int worker = workerIndex(placement.worker);
            if (worker < 0)
                continue;
            m_jobs[i].tasks.push_back(
                { .worker = worker, .accelerators = static_cast<int>(placement.accelerators.size()) });
            std::vector<int>& jobs = m_workers[static_cast<std::size_t>(worker)].jobs;
            if (jobs.empty() || jobs.back() != static_cast<int>(i))
                jobs.push_back(static_cast<int>(i));
        }
    }
}

} // namespace lentilsaddle::coordination
