#include "coordination/decisions/ReservedCapacity.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    /// A reservation that lacks less than this share of its accelerators, or less than this time, is about to be
    /// complete. Filling its hole again would start the wait anew whenever a declared run time was too short.
    constexpr int nearlyCompleteDivisor = 4;
    constexpr std::chrono::minutes nearlyCompleteDelay { 5 };

} // namespace

ReservedCapacity::ReservedCapacity(const ClusterView& view, double completionWeight)
    : m_workers(view.workers().size())
    , m_completionWeight(completionWeight)
{
}

void ReservedCapacity::keep(const Reservation& reservation, AcceleratorCounts& free)
{
    Kept kept { .room = AcceleratorCounts(m_workers, 0), .limit = lendingLimit(reservation) };
    for (const GangTask& task : reservation.tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        int taken = std::min(free[worker], task.accelerators);
        free[worker] -= taken;
        kept.room[worker] += taken;
    }
    m_reservations.push_back(std::move(kept));
}

void ReservedCapacity::release(AcceleratorCounts& free)
{
    for (const Kept& kept : m_reservations) {
        for (std::size_t i = 0; i < free.size(); ++i)
            free[i] += kept.room[i];
    }
    m_reservations.clear();
}

AcceleratorCounts ReservedCapacity::lend(const AcceleratorCounts& free, std::chrono::seconds declaredRunTime) const
{
    AcceleratorCounts room = free;
    for (const Kept& kept : m_reservations) {
        if (declaredRunTime > kept.limit)
            continue;
        for (std::size_t i = 0; i < room.size(); ++i)
            room[i] += kept.room[i];
    }
    return room;
}

void ReservedCapacity::use(const std::vector<GangTask>& tasks, AcceleratorCounts& free)
{
    for (const GangTask& task : tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        int remaining = task.accelerators;
        auto takeFrom = [&remaining](int& room) {
            int taken = std::min(room, remaining);
            room -= taken;
            remaining -= taken;
        };
        takeFrom(free[worker]);
        for (Kept& kept : m_reservations)
            takeFrom(kept.room[worker]);
    }
}

std::chrono::milliseconds ReservedCapacity::lendingLimit(const Reservation& reservation) const
{
    int total = 0;
    for (const GangTask& task : reservation.tasks)
        total += task.accelerators;
    if (reservation.missing * nearlyCompleteDivisor <= total || reservation.delay <= nearlyCompleteDelay)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(reservation.delay * m_completionWeight);
}

} // namespace lentilsaddle::coordination
