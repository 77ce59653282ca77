#include "state/PlacementState.h"

#include "state/StateError.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::state {

namespace {

    /// @return whether the new guarantees still include every shape of the old ones.
    bool includesAll(const std::vector<Guarantee>& next, const std::vector<Guarantee>& old)
    {
        return std::all_of(old.begin(), old.end(), [&next](const Guarantee& previous) {
            return std::any_of(next.begin(), next.end(), [&previous](const Guarantee& guarantee) {
                return guarantee.accelerators == previous.accelerators && guarantee.adjacency == previous.adjacency
                    && guarantee.count >= previous.count;
            });
        });
    }

} // namespace

void PlacementState::setWorkers(const std::vector<Worker>& workers)
{
    std::map<WorkerId, WorkerSlots> next;
    for (const Worker& worker : workers) {
        auto known = m_workers.find(worker.id);
        WorkerSlots slots;
        if (known != m_workers.end())
            slots = std::move(known->second);
        slots.worker = worker;
        slots.jobs.resize(static_cast<std::size_t>(worker.accelerators));
        next.emplace(worker.id, std::move(slots));
    }
    m_workers = std::move(next);
}

void PlacementState::setGuarantees(const Configuration& configuration, const DataCentreId& dataCentre)
{
    std::map<AccountId, std::vector<Guarantee>> old = std::exchange(m_guarantees, {});
    for (const auto& [id, account] : configuration.accounts) {
        for (const Guarantee& guarantee : account.guarantees) {
            if (guarantee.dataCentre == dataCentre)
                m_guarantees[id].push_back(guarantee);
        }
    }
    // A job that was started within a removed guarantee must not count as guaranteed once the account's other jobs have
    // ended: by then its accelerators may be guaranteed to other accounts.
    for (auto& [id, allocation] : m_allocations) {
        auto known = old.find(allocation.account);
        if (known != old.end() && !includesAll(m_guarantees[allocation.account], known->second))
            allocation.options.withinGuarantee.reset();
    }
    std::erase_if(m_guarantees, [](const auto& entry) { return entry.second.empty(); });
}

void PlacementState::setAvailable(const WorkerId& worker, bool available)
{
    auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.available = available;
}

void PlacementState::allocate(const JobId& job, const AccountId& account, const std::vector<TaskPlacement>& placements,
    const AllocationOptions& options)
{
    for (const TaskPlacement& placement : placements) {
        auto found = m_workers.find(placement.worker);
        if (found == m_workers.end())
            throw StateError("worker", "unknown worker '" + placement.worker.value() + "'");
        for (int index : placement.accelerators) {
            if (index < 0 || index >= found->second.worker.accelerators)
                throw StateError("accelerators",
                    "no accelerator " + std::to_string(index) + " on '" + placement.worker.value() + "'");
            const JobId& holder = found->second.jobs[static_cast<std::size_t>(index)];
            if (!holder.empty() && holder != job)
                throw StateError("accelerators",
                    "accelerator " + std::to_string(index) + " of '" + placement.worker.value()
                        + "' is already allocated to job '" + holder.value() + "'");
        }
    }
    for (const TaskPlacement& placement : placements) {
        for (int index : placement.accelerators)
            m_workers.at(placement.worker).jobs[static_cast<std::size_t>(index)] = job;
    }
    m_allocations[job]
        = Allocation { .account = account, .placements = placements, .options = options, .order = m_nextOrder++ };
}

void PlacementState::markStopping(const JobId& job)
{
    auto found = m_allocations.find(job);
    if (found != m_allocations.end())
        found->second.stopping = true;
}

void PlacementState::release(const JobId& job)
{
    auto found = m_allocations.find(job);
    if (found == m_allocations.end())
        return;
    for (const TaskPlacement& placement : found->second.placements) {
        auto worker = m_workers.find(placement.worker);
        if (worker == m_workers.end())
            continue;
        for (int index : placement.accelerators) {
            auto slot = static_cast<std::size_t>(index);
            if (slot < worker->second.jobs.size() && worker->second.jobs[slot] == job)
                worker->second.jobs[slot] = JobId();
        }
    }
    m_allocations.erase(found);
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
        for (const JobId& job : slots.jobs)
            total += job.empty() ? 1 : 0;
    }
    return total;
}

} // namespace lentilsaddle::state
