#include "coordination/decisions/batch/BatchPlanner.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination::batch {

namespace {

    // Which deadline the unit meets if it starts now.
    enum class DeadlineState {
        OnTime,
        Late,
        Expired,
    };

    DeadlineState deadlineStateOf(const BatchUnit& unit, state::MonotonicTime now)
    {
        if (now + unit.estimate <= unit.deadline)
            return DeadlineState::OnTime;
        if (now + unit.estimate <= unit.hardDeadline)
            return DeadlineState::Late;
        return DeadlineState::Expired;
    }

} // namespace

BatchPlanner::BatchPlanner(const PlannerOptions& options, PlanInput input)
    : m_options(options)
    , m_units(std::move(input.units))
    , m_groups(std::move(input.groups))
    , m_now(input.now)
    , m_aging(std::move(input.aging))
    , m_preemptionAllowed(input.preemptionAllowed)
    , m_capacity(std::move(input.workers))
    , m_preemption(m_capacity, m_groups)
    , m_held(m_capacity, m_units)
    , m_backfill(options.backfill, m_capacity, m_groups)
{
    m_anyBackfilled = std::ranges::any_of(m_groups, [](const RunningGroup& group) { return group.backfilled; });
    m_held.restore(input.holds, m_now, m_options.holdLimit);
}

BatchPlan BatchPlanner::plan()
{
    allocateHolds();
    for (std::size_t index : serviceOrder()) {
        if (m_capacity.slowestRunTime(m_units[index].service) > m_options.slowRunTime) {
            m_units[index].sparesFastWorkers = m_units[index].priority > 0 && completesOnSlowestWorkers(m_units[index]);
            // A unit that holds slow workers has preempted there because no other room could be freed.
            if (needsSpeed(m_units[index]) && !m_held.holdsSlowerThan(index, m_options.slowRunTime)
                && placeOnFasterWorkers(index))
                continue;
        }
        serve(index);
        // A guaranteed unit may use what other units hold, if nothing else can be freed for it.
        // A part of a step that it holds already stays as it is, because a second serve() would use it for the rest.
        if (m_units[index].guaranteed && !served(index) && m_held.count(index) == 0
            && suspendOtherHolds(m_units[index])) {
            serve(index);
            m_held.resume();
        }
        if (!served(index))
            placeOnLentCapacity(index);
        if (!served(index) && m_now - m_units[index].readySince >= m_options.reservationDelay)
            reserveForLater(index);
    }
    m_plan.holds = m_held.list();
    return std::move(m_plan);
}

void BatchPlanner::reserveForLater(std::size_t index)
{
    endBackfill(index);
    reserveForBlocked(m_units[index]);
}

void BatchPlanner::placeOnLentCapacity(std::size_t index)
{
    BatchUnit& unit = m_units[index];
    if (!m_backfill.lend(unit, m_now))
        return;
    std::size_t count = unit.indices.size();
    Assignment assignment = selectLocal(unit, CapacityIndex::Free::Now, count);
    bool incomplete = unit.gang ? assignment.size() < count : assignment.empty();
    if (incomplete && nonLocalAllowed(unit))
        assignment = selectAnywhere(unit, count);
    if (!unit.gang || assignment.size() == count) {
        place(index, assignment);
        if (!unit.gang)
            removePlaced(unit, assignment.size());
    }
    m_backfill.reclaim();
}

void BatchPlanner::endBackfill(std::size_t index)
{
    if (!m_anyBackfilled)
        return;
    BatchUnit unit = m_units[index];
    // Tasks that are no gang start one by one.
    if (!unit.gang)
        unit.indices.resize(1);
    auto victims = findVictims(unit, nonLocalAllowed(unit), PreemptionSearch::Victims::Backfilled);
    if (!victims || victims->groups.empty())
        return;
    m_plan.delayed.insert(index);
    if (unit.delayedSince && m_now - *unit.delayedSince >= m_options.backfillDelay)
        stopVictims(index, *victims, true);
}

void BatchPlanner::serve(std::size_t index)
{
    if (m_units[index].gang)
        placeGang(index);
    else
        placeTasks(index);
}

bool BatchPlanner::served(std::size_t index) const
{
    const BatchUnit& unit = m_units[index];
    if (!unit.gang)
        return unit.indices.empty();
    bool placed = !m_plan.placements.empty() && m_plan.placements.back().unit == index;
    return placed || m_held.count(index) == unit.indices.size();
}

void BatchPlanner::allocateHolds()
{
    for (bool guaranteed : { true, false }) {
        for (std::size_t index = 0; index < m_units.size(); ++index) {
            if (m_units[index].guaranteed != guaranteed || m_held.count(index) == 0)
                continue;
            if (mayPreempt(m_units[index]))
                m_held.allocate(index);
            else
                m_held.drop(index);
        }
    }
}

bool BatchPlanner::suspendOtherHolds(const BatchUnit& unit)
{
    bool suspended = false;
    for (std::size_t index = 0; index < m_units.size(); ++index) {
        if (m_units[index].guaranteed || !m_held.holdsWorkerFor(index, unit))
            continue;
        m_held.suspend(index);
        suspended = true;
    }
    return suspended;
}

void BatchPlanner::hold(std::size_t index, const BatchUnit& unit, const Assignment& assignment)
{
    reserveWorkers(unit, assignment);
    m_held.add(index, assignment, m_now);
}

std::vector<std::size_t> BatchPlanner::serviceOrder()
{
    using Key = std::tuple<bool, bool, int, bool, DeadlineState, double, std::size_t>;
    m_plan.preferred = m_aging.select(m_units, m_capacity.workers(), m_now,
        [this](const BatchUnit& unit) { return !selectReservation(unit).empty(); });
    std::vector<Key> keys;
    keys.reserve(m_units.size());
    for (std::size_t index = 0; index < m_units.size(); ++index) {
        const BatchUnit& unit = m_units[index];
        DeadlineState deadlineState = deadlineStateOf(unit, m_now);
        double rank = deadlineState == DeadlineState::Late
            ? -unit.valueDensity
            : std::chrono::duration<double>((unit.deadline - unit.estimate).time_since_epoch()).count();
        bool dueByAge = m_plan.preferred.contains(index);
        keys.emplace_back(!unit.guaranteed, deadlineState == DeadlineState::Expired && !dueByAge, unit.priority,
            !dueByAge, deadlineState, rank, index);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<std::size_t> order;
    order.reserve(keys.size());
    for (const Key& key : keys)
        order.push_back(std::get<std::size_t>(key));
    return order;
}

bool BatchPlanner::nonLocalAllowed(const BatchUnit& unit) const
{
    // A guaranteed unit starts at once, even where it runs slower.
    if (unit.guaranteed)
        return true;
    auto waited = m_now - unit.readySince;
    if (waited >= m_options.idleLocalityDelay && m_capacity.utilisation() < 0.5)
        return true;
    return waited >= std::chrono::duration<double>(unit.estimate) * m_options.localityDelayFactor;
}

bool BatchPlanner::mayPreempt(const BatchUnit& unit) const
{
    // A unit that is placed after others must not preempt, because the others would get the freed capacity.
    return m_preemptionAllowed && unit.priority == 0
        && (unit.guaranteed || deadlineStateOf(unit, m_now) != DeadlineState::Expired);
}

BatchPlanner::Assignment BatchPlanner::selectLocal(
    const BatchUnit& unit, CapacityIndex::Free free, std::size_t count) const
{
    if (!unit.preferredRack.empty())
        return m_capacity.selectWorkers(unit, m_capacity.workersInRack(unit.preferredRack), free, count);
    if (unit.gang && unit.sameRack && count > 1)
        return m_capacity.selectRack(unit, free);
    return m_capacity.selectWorkers(unit, m_capacity.allWorkers(), free, count);
}

BatchPlanner::Assignment BatchPlanner::selectAnywhere(const BatchUnit& unit, std::size_t count) const
{
    return m_capacity.selectWorkers(unit, m_capacity.allWorkers(), CapacityIndex::Free::Now, count);
}

bool BatchPlanner::completesOnSlowestWorkers(const BatchUnit& unit) const
{
    auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(
        unit.estimate * (m_capacity.slowestRunTime(unit.service) * m_options.speedMargin));
    return m_now + longest <= unit.deadline;
}

bool BatchPlanner::needsSpeed(const BatchUnit& unit) const
{
    return unit.priority == 0 && deadlineStateOf(unit, m_now) == DeadlineState::OnTime
        && !completesOnSlowestWorkers(unit);
}

bool BatchPlanner::removePlaced(BatchUnit& unit, std::size_t count)
{
    unit.indices.erase(unit.indices.begin(), unit.indices.begin() + static_cast<std::ptrdiff_t>(count));
    return unit.indices.empty();
}

bool BatchPlanner::waitsForSpeed(const BatchUnit& unit) const
{
    auto limit = unit.guaranteed ? m_options.guaranteedSpeedWait : m_options.speedWait;
    return m_now - unit.readySince < limit && selectLocalReservation(unit).size() == unit.indices.size();
}

bool BatchPlanner::placeOnFasterWorkers(std::size_t index)
{
    BatchUnit& unit = m_units[index];
    std::size_t count = unit.indices.size();
    m_held.release(index);
    for (double limit : { m_options.fastRunTime, m_options.slowRunTime }) {
        unit.maximumRelativeRunTime = limit;
        Assignment assignment = selectLocal(unit, CapacityIndex::Free::Now, count);
        if (unit.gang && assignment.size() < count)
            continue;
        place(index, assignment);
        if (unit.gang || removePlaced(unit, assignment.size())) {
            m_held.drop(index);
            return true;
        }
        count = unit.indices.size();
    }
    if (Assignment assignment = m_held.placeable(index); !unit.gang || assignment.size() == count) {
        place(index, assignment);
        if (unit.gang || removePlaced(unit, assignment.size())) {
            m_held.drop(index);
            return true;
        }
        count = unit.indices.size();
    }
    bool waits = waitsForSpeed(unit);
    unit.maximumRelativeRunTime = std::numeric_limits<double>::infinity();
    bool slowRoom = selectLocal(unit, CapacityIndex::Free::Now, count).size() == count;
    m_held.allocate(index);
    if (slowRoom && !waits)
        return false;
    if (m_held.count(index) == count)
        return true;
    unit.maximumRelativeRunTime = m_options.slowRunTime;
    bool done = slowRoom;
    if (Assignment assignment = selectLocal(unit, CapacityIndex::Free::AfterStops, count);
        unit.gang && assignment.size() == count) {
        hold(index, unit, assignment);
        done = true;
    } else if (slowRoom) {
        if (m_now - unit.readySince >= m_options.reservationDelay)
            reserveForBlocked(unit);
    } else if (unit.gang && mayPreempt(unit)) {
        done = preempt(index, unit, false);
    }
    unit.maximumRelativeRunTime = std::numeric_limits<double>::infinity();
    return done;
}

void BatchPlanner::placeGang(std::size_t index)
{
    const BatchUnit& unit = m_units[index];
    std::size_t count = unit.indices.size();
    m_held.release(index);
    if (Assignment assignment = selectLocal(unit, CapacityIndex::Free::Now, count); assignment.size() == count) {
        m_held.drop(index);
        place(index, assignment);
        return;
    }
    if (Assignment assignment = m_held.placeable(index); assignment.size() == count) {
        m_held.drop(index);
        place(index, assignment);
        return;
    }
    m_held.allocate(index);
    if (m_held.count(index) == count)
        return;
    if (mayPreempt(unit)) {
        if (Assignment assignment = selectLocal(unit, CapacityIndex::Free::AfterStops, count);
            assignment.size() == count) {
            hold(index, unit, assignment);
            return;
        }
        if (preempt(index, unit, false))
            return;
    }
    if (nonLocalAllowed(unit)) {
        if (Assignment assignment = selectAnywhere(unit, count); assignment.size() == count) {
            place(index, assignment);
            return;
        }
    }
    if (unit.guaranteed && mayPreempt(unit))
        preempt(index, unit, true);
}

void BatchPlanner::placeTasks(std::size_t index)
{
    BatchUnit& unit = m_units[index];
    auto placed = [&unit](std::size_t count) { return removePlaced(unit, count); };
    m_held.release(index);
    Assignment assignment = selectLocal(unit, CapacityIndex::Free::Now, unit.indices.size());
    place(index, assignment);
    if (placed(assignment.size())) {
        m_held.drop(index);
        return;
    }
    assignment = m_held.placeable(index);
    place(index, assignment);
    if (placed(assignment.size())) {
        m_held.drop(index);
        return;
    }
    m_held.allocate(index);
    if (placed(m_held.count(index)))
        return;
    if (mayPreempt(unit)) {
        assignment = selectLocal(unit, CapacityIndex::Free::AfterStops, unit.indices.size());
        hold(index, unit, assignment);
        if (placed(assignment.size()))
            return;
        BatchUnit single = unit;
        while (!unit.indices.empty()) {
            single.indices = { unit.indices.front() };
            if (!preempt(index, single, false))
                break;
            placed(1);
        }
        if (unit.indices.empty())
            return;
    }
    if (nonLocalAllowed(unit)) {
        assignment = selectAnywhere(unit, unit.indices.size());
        place(index, assignment);
        if (placed(assignment.size()))
            return;
    }
    if (unit.guaranteed && mayPreempt(unit)) {
        BatchUnit single = unit;
        single.indices = { unit.indices.front() };
        while (preempt(index, single, true)) {
            if (placed(1))
                return;
        }
    }
}

void BatchPlanner::place(std::size_t index, const Assignment& assignment)
{
    BatchUnit& unit = m_units[index];
    for (std::size_t task = 0; task < assignment.size(); ++task) {
        m_capacity.allocate(assignment[task], unit.resources);
        m_capacity.markStarting(assignment[task], unit);
        ++unit.runningOnWorker[m_capacity.workers()[assignment[task]].worker.id];
        m_plan.placements.push_back({ .unit = index,
            .index = unit.indices[task],
            .worker = assignment[task],
            .backfilled = m_backfill.lent(assignment[task]) });
    }
}

void BatchPlanner::reserveWorkers(const BatchUnit& unit, const Assignment& assignment)
{
    for (std::size_t worker : assignment)
        m_capacity.allocate(worker, unit.resources);
}

std::optional<PreemptionSearch::Result> BatchPlanner::findVictims(
    const BatchUnit& unit, bool ignoreLocality, PreemptionSearch::Victims victims)
{
    std::optional<PreemptionSearch::Result> best;
    auto consider = [&](const std::vector<std::size_t>& candidates) {
        double limit = best ? best->loss : std::numeric_limits<double>::infinity();
        if (auto result = m_preemption.find(unit, candidates, limit, victims))
            best = std::move(result);
    };
    if (!ignoreLocality && !unit.preferredRack.empty()) {
        consider(m_capacity.workersInRack(unit.preferredRack));
    } else if (!ignoreLocality && unit.gang && unit.sameRack) {
        for (const CapacityIndex::Rack& rack : m_capacity.racks())
            consider(rack.workers);
    } else {
        consider(m_capacity.allWorkers());
    }
    return best;
}

void BatchPlanner::stopVictims(std::size_t index, const PreemptionSearch::Result& result, bool backfilled)
{
    for (std::size_t group : result.groups) {
        m_plan.preemptions.push_back({ .group = group, .unit = index, .backfilled = backfilled });
        m_preemption.forEachRun(group, [this](std::size_t worker, std::size_t run) {
            if (m_capacity.workers()[worker].runs[run].stopping)
                return;
            m_capacity.markStopping(worker, run);
            m_preemption.invalidateWorker(worker);
        });
    }
}

bool BatchPlanner::preempt(std::size_t index, const BatchUnit& unit, bool ignoreLocality)
{
    auto victims = findVictims(unit, ignoreLocality, PreemptionSearch::Victims::Preemptible);
    if (!victims)
        return false;
    stopVictims(index, *victims, false);
    hold(index, unit, victims->workers);
    return true;
}

BatchPlanner::Assignment BatchPlanner::selectReservationAmong(
    const BatchUnit& unit, const std::vector<std::size_t>& candidates) const
{
    Assignment assignment = m_capacity.selectForReservation(unit, candidates);
    if (unit.gang && assignment.size() < unit.indices.size())
        return {};
    return assignment;
}

BatchPlanner::Assignment BatchPlanner::selectLocalReservation(const BatchUnit& unit) const
{
    if (!unit.preferredRack.empty())
        return selectReservationAmong(unit, m_capacity.workersInRack(unit.preferredRack));
    if (!unit.gang || !unit.sameRack)
        return selectReservationAmong(unit, m_capacity.allWorkers());
    // The rack that will first have the most free accelerators, counting pending stops.
    Assignment best;
    std::int64_t bestFree = -1;
    for (const CapacityIndex::Rack& rack : m_capacity.racks()) {
        std::int64_t free = 0;
        for (std::size_t worker : rack.workers) {
            if (m_capacity.eligible(unit, worker))
                free += std::max<std::int64_t>(0, m_capacity.workers()[worker].freeAfterStops.accelerators);
        }
        if (free <= bestFree)
            continue;
        if (Assignment assignment = selectReservationAmong(unit, rack.workers); !assignment.empty()) {
            best = std::move(assignment);
            bestFree = free;
        }
    }
    return best;
}

BatchPlanner::Assignment BatchPlanner::selectReservation(const BatchUnit& unit) const
{
    Assignment assignment = selectLocalReservation(unit);
    if (assignment.empty() && nonLocalAllowed(unit))
        assignment = selectReservationAmong(unit, m_capacity.allWorkers());
    return assignment;
}

void BatchPlanner::reserveForBlocked(const BatchUnit& unit)
{
    if (m_reservations >= m_options.maximumReservations)
        return;
    Assignment assignment = selectReservation(unit);
    if (assignment.empty())
        return;
    ++m_reservations;
    m_backfill.reserve(unit, assignment, m_now);
}

} // namespace lentilsaddle::coordination::batch
