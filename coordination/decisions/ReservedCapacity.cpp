#include "coordination/decisions/ReservedCapacity.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    /// A reservation that lacks at most total / divisor of its accelerators, or is expected to be complete within this
    /// delay, is not backfilled: whenever a declared run time was too short, the wait would start again.
    constexpr int nearlyCompleteDivisor = 4;
    constexpr std::chrono::minutes nearlyCompleteDelay { 5 };

} // namespace

ReservedCapacity::ReservedCapacity(const ClusterView& view, double completionWeight)
    : m_workerCount(view.workers().size())
    , m_completionWeight(completionWeight)
{
}

void ReservedCapacity::add(const Reservation& reservation, AcceleratorCounts& free)
{
    Entry entry { .capacity = AcceleratorCounts(m_workerCount, 0), .limit = backfillLimit(reservation) };
    for (const GangTask& task : reservation.tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        int taken = std::min(free[worker], task.accelerators);
        free[worker] -= taken;
        entry.capacity[worker] += taken;
    }
    m_reservations.push_back(std::move(entry));
}

void ReservedCapacity::release(AcceleratorCounts& free)
{
    for (const Entry& entry : m_reservations) {
        for (std::size_t i = 0; i < free.size(); ++i)
            free[i] += entry.capacity[i];
    }
    m_reservations.clear();
}

AcceleratorCounts ReservedCapacity::usableFor(const AcceleratorCounts& free, std::chrono::seconds declaredRunTime) const
{
    AcceleratorCounts capacity = free;
    for (const Entry& entry : m_reservations) {
        if (declaredRunTime > entry.limit)
            continue;
        for (std::size_t i = 0; i < capacity.size(); ++i)
            capacity[i] += entry.capacity[i];
    }
    return capacity;
}

void ReservedCapacity::allocate(const std::vector<GangTask>& tasks, AcceleratorCounts& free)
{
    for (const GangTask& task : tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        int remaining = task.accelerators;
        auto allocateFrom = [&remaining](int& capacity) {
            int taken = std::min(capacity, remaining);
            capacity -= taken;
            remaining -= taken;
        };
        allocateFrom(free[worker]);
        for (Entry& entry : m_reservations)
            allocateFrom(entry.capacity[worker]);
    }
}

std::chrono::milliseconds ReservedCapacity::backfillLimit(const Reservation& reservation) const
{
    int total = 0;
    for (const GangTask& task : reservation.tasks)
        total += task.accelerators;
    if (reservation.missing * nearlyCompleteDivisor <= total || reservation.delay <= nearlyCompleteDelay)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(reservation.delay * m_completionWeight);
}

} // namespace lentilsaddle::coordination
