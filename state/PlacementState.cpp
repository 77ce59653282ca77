#include "state/PlacementState.h"

#include "state/StateError.h"

#include <utility>

namespace lentilsaddle::state {

void PlacementState::setWorkers(const std::vector<Worker>& workers)
{
    std::map<WorkerId, WorkerSlots> next;
    for (const Worker& worker : workers) {
        auto known = m_workers.find(worker.id);
        WorkerSlots slots;
        if (known != m_workers.end())
            slots = std::move(known->second);
        slots.worker = worker;
        slots.occupants.resize(static_cast<std::size_t>(worker.accelerators));
        next.emplace(worker.id, std::move(slots));
    }
    m_workers = std::move(next);
}

void PlacementState::setGuarantees(const Configuration& configuration, const DataCentreId& dataCentre)
{
    m_guarantees.clear();
    for (const auto& [id, account] : configuration.accounts) {
        for (const Guarantee& guarantee : account.guarantees) {
            if (guarantee.dataCentre == dataCentre)
                m_guarantees[id].push_back(guarantee);
        }
    }
}

void PlacementState::setAvailable(const WorkerId& worker, bool available)
{
    auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.available = available;
}

void PlacementState::occupy(const JobId& job, const AccountId& account, const std::vector<TaskPlacement>& placements)
{
    for (const TaskPlacement& placement : placements) {
        auto found = m_workers.find(placement.worker);
        if (found == m_workers.end())
            throw StateError("worker", "unknown worker '" + placement.worker.value() + "'");
        for (int index : placement.accelerators) {
            if (index < 0 || index >= found->second.worker.accelerators)
                throw StateError("accelerators",
                    "no accelerator " + std::to_string(index) + " on '" + placement.worker.value() + "'");
            const JobId& occupant = found->second.occupants[static_cast<std::size_t>(index)];
            if (!occupant.empty() && occupant != job)
                throw StateError("accelerators",
                    "accelerator " + std::to_string(index) + " of '" + placement.worker.value() + "' is held by '"
                        + occupant.value() + "'");
        }
    }
    for (const TaskPlacement& placement : placements) {
        for (int index : placement.accelerators)
            m_workers.at(placement.worker).occupants[static_cast<std::size_t>(index)] = job;
    }
    m_occupants[job] = Occupant { .account = account, .placements = placements };
}

void PlacementState::release(const JobId& job)
{
    auto found = m_occupants.find(job);
    if (found == m_occupants.end())
        return;
    for (const TaskPlacement& placement : found->second.placements) {
        auto worker = m_workers.find(placement.worker);
        if (worker == m_workers.end())
            continue;
        for (int index : placement.accelerators) {
            auto slot = static_cast<std::size_t>(index);
            if (slot < worker->second.occupants.size() && worker->second.occupants[slot] == job)
                worker->second.occupants[slot] = JobId();
        }
    }
    m_occupants.erase(found);
}

int PlacementState::accelerators() const
{
    int total = 0;
    for (const auto& [id, slots] : m_workers)
        total += slots.worker.accelerators;
    return total;
}

int PlacementState::freeAccelerators() const
{
    int total = 0;
    for (const auto& [id, slots] : m_workers) {
        if (!slots.available)
            continue;
        for (const JobId& occupant : slots.occupants)
            total += occupant.empty() ? 1 : 0;
    }
    return total;
}

} // namespace lentilsaddle::state
