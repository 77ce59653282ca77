#include "coordination/decisions/batch/Backfill.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

using state::batch::Resources;

bool mayEndBackfill(const BatchUnit& unit, const RunningGroup& group)
{
    return group.backfilled && !group.guaranteed && group.priority >= unit.priority;
}

Backfill::Backfill(const Options& options, CapacityIndex& capacity, const std::vector<RunningGroup>& groups)
    : m_options(options)
    , m_capacity(capacity)
    , m_groups(groups)
{
}

state::MonotonicTime Backfill::availableAt(
    const BatchUnit& unit, std::size_t worker, const Resources& resources, state::MonotonicTime now) const
{
    const WorkerView& view = m_capacity.workers()[worker];
    // The reservations on the worker have been taken from what is free.
    Resources free = view.free;
    std::vector<const WorkerView::Run*> runs;
    for (const WorkerView::Run& run : view.runs) {
        if (mayEndBackfill(unit, m_groups[run.group]))
            free += run.resources;
        else
            runs.push_back(&run);
    }
    std::ranges::sort(runs, {}, [](const WorkerView::Run* run) { return run->expectedEnd; });
    state::MonotonicTime available = now;
    for (const WorkerView::Run* run : runs) {
        if (resources.fitsInto(free))
            break;
        free += run->resources;
        available = std::max(available, run->expectedEnd);
    }
    // The rest is taken by tasks that were placed in this round, whose ends the next round knows.
    return resources.fitsInto(free) ? available : now;
}

void Backfill::reserve(const BatchUnit& unit, const CapacityIndex::Assignment& workers, state::MonotonicTime now)
{
    std::map<std::size_t, Resources> needed;
    for (std::size_t worker : workers)
        needed[worker] += unit.resources;
    std::map<std::size_t, state::MonotonicTime> begins;
    state::MonotonicTime last = now;
    for (const auto& [worker, resources] : needed) {
        begins[worker] = availableAt(unit, worker, resources, now);
        last = std::max(last, begins[worker]);
    }
    for (const auto& [worker, resources] : needed) {
        Reserved& reserved = m_reserved[worker];
        reserved.resources += resources;
        // The members of a gang begin together.
        reserved.begin = std::min(reserved.begin, unit.gang ? last : begins[worker]);
        reserved.priority = std::max(reserved.priority, unit.priority);
    }
    for (std::size_t worker : workers)
        m_capacity.reserve(worker, unit.resources);
}

bool Backfill::endsBefore(
    const BatchUnit& unit, std::size_t worker, state::MonotonicTime limit, state::MonotonicTime now) const
{
    const WorkerView& view = m_capacity.workers()[worker];
    // A run that outlasts its estimate shows that those of its kind cannot be trusted.
    bool overdue
        = std::ranges::any_of(view.runs, [](const WorkerView::Run& run) { return run.backfilled && run.overdue; });
    if (overdue || unit.runTime.count() == 0)
        return false;
    auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(
        unit.runTime * (std::max(view.relativeRunTime, view.slowness) * m_options.runTimeMargin));
    return now + m_options.startTime + runTime <= limit;
}

bool Backfill::mayUse(const BatchUnit& unit, std::size_t worker, state::MonotonicTime now) const
{
    const Reserved& reserved = m_reserved.at(worker);
    // A run of higher priority could not be stopped for the reservation.
    if (unit.priority < reserved.priority || reserved.begin <= now)
        return false;
    auto waited = now - unit.readySince;
    bool idle = m_capacity.utilisation() < m_options.idleUtilisation;
    bool farAway = reserved.begin - now >= m_options.idleWait;
    if (idle && farAway && waited >= m_options.idleWait)
        return true;
    bool mayEndBefore = idle || (!unit.gang && waited >= m_options.busyWait);
    return mayEndBefore && endsBefore(unit, worker, reserved.begin, now);
}

bool Backfill::lend(const BatchUnit& unit, state::MonotonicTime now)
{
    for (const auto& [worker, reserved] : m_reserved) {
        if (!mayUse(unit, worker, now))
            continue;
        m_capacity.release(worker, reserved.resources);
        m_lent.push_back(worker);
    }
    return !m_lent.empty();
}

void Backfill::reclaim()
{
    for (std::size_t worker : m_lent)
        m_capacity.allocate(worker, m_reserved.at(worker).resources);
    m_lent.clear();
}

bool Backfill::lent(std::size_t worker) const
{
    return std::ranges::binary_search(m_lent, worker);
}

} // namespace lentilsaddle::coordination::batch
