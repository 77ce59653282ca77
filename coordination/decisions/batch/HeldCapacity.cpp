#include "coordination/decisions/batch/HeldCapacity.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination::batch {

HeldCapacity::HeldCapacity(CapacityIndex& capacity, const std::vector<BatchUnit>& units)
    : m_capacity(capacity)
    , m_units(units)
{
}

void HeldCapacity::restore(
    const std::vector<CapacityHold>& holds, state::MonotonicTime now, std::chrono::milliseconds limit)
{
    if (holds.empty())
        return;
    std::map<std::tuple<state::JobId, int, int>, std::size_t> units;
    for (std::size_t index = 0; index < m_units.size(); ++index) {
        const BatchUnit& unit = m_units[index];
        if (!unit.isolatedStart)
            units.emplace(std::tuple(unit.job, unit.occurrence, unit.step), index);
    }
    std::map<state::WorkerId, std::size_t> workers;
    for (std::size_t index = 0; index < m_capacity.workers().size(); ++index)
        workers.emplace(m_capacity.workers()[index].worker.id, index);
    for (const CapacityHold& hold : holds) {
        auto unit = units.find({ hold.job, hold.occurrence, hold.step });
        auto worker = workers.find(hold.worker);
        if (unit != units.end() && worker != workers.end() && now - hold.since < limit)
            m_held[unit->second].push_back({ .worker = worker->second, .since = hold.since });
    }
}

void HeldCapacity::allocate(std::size_t unit)
{
    auto found = m_held.find(unit);
    if (found == m_held.end())
        return;
    const BatchUnit& description = m_units[unit];
    std::vector<Held> kept;
    for (const Held& held : found->second) {
        const WorkerView& view = m_capacity.workers()[held.worker];
        bool fits
            = m_capacity.eligible(description, held.worker) && description.resources.fitsInto(view.freeAfterStops);
        if (!fits || kept.size() >= description.indices.size())
            continue;
        m_capacity.allocate(held.worker, description.resources);
        kept.push_back(held);
    }
    found->second = std::move(kept);
    if (description.gang && found->second.size() < description.indices.size()) {
        release(unit);
        drop(unit);
    }
}

void HeldCapacity::release(std::size_t unit)
{
    auto found = m_held.find(unit);
    if (found == m_held.end())
        return;
    for (const Held& held : found->second)
        m_capacity.release(held.worker, m_units[unit].resources);
}

void HeldCapacity::suspend(std::size_t unit)
{
    release(unit);
    if (auto held = m_held.extract(unit))
        m_suspended.insert(std::move(held));
}

void HeldCapacity::resume()
{
    while (!m_suspended.empty()) {
        auto held = m_suspended.extract(m_suspended.begin());
        std::size_t unit = held.key();
        m_held.insert(std::move(held));
        allocate(unit);
    }
}

bool HeldCapacity::holdsWorkerFor(std::size_t unit, const BatchUnit& other) const
{
    auto found = m_held.find(unit);
    return found != m_held.end() && std::any_of(found->second.begin(), found->second.end(), [&](const Held& held) {
        return m_capacity.eligible(other, held.worker)
            && other.resources.fitsInto(m_capacity.workers()[held.worker].worker.capacity);
    });
}

CapacityIndex::Assignment HeldCapacity::placeable(std::size_t unit) const
{
    auto found = m_held.find(unit);
    if (found == m_held.end())
        return {};
    std::set<std::size_t> workers;
    for (const Held& held : found->second)
        workers.insert(held.worker);
    const BatchUnit& description = m_units[unit];
    return m_capacity.selectWorkers(description, { workers.begin(), workers.end() }, CapacityIndex::Free::Now,
        std::min(found->second.size(), description.indices.size()));
}

void HeldCapacity::add(std::size_t unit, const CapacityIndex::Assignment& workers, state::MonotonicTime now)
{
    for (std::size_t worker : workers)
        m_held[unit].push_back({ .worker = worker, .since = now });
}

bool HeldCapacity::holdsSlowerThan(std::size_t unit, double relativeRunTime) const
{
    auto found = m_held.find(unit);
    return found != m_held.end() && std::any_of(found->second.begin(), found->second.end(), [&](const Held& held) {
        return m_capacity.workers()[held.worker].relativeRunTime > relativeRunTime;
    });
}

std::size_t HeldCapacity::count(std::size_t unit) const
{
    auto found = m_held.find(unit);
    return found == m_held.end() ? 0 : found->second.size();
}

std::vector<CapacityHold> HeldCapacity::list() const
{
    std::vector<CapacityHold> holds;
    for (const auto& [index, workers] : m_held) {
        const BatchUnit& unit = m_units[index];
        // The next round would take them for holds of the step's other tasks.
        if (unit.isolatedStart)
            continue;
        for (const Held& held : workers)
            holds.push_back({ .job = unit.job,
                .occurrence = unit.occurrence,
                .step = unit.step,
                .worker = m_capacity.workers()[held.worker].worker.id,
                .since = held.since });
    }
    return holds;
}

} // namespace lentilsaddle::coordination::batch
