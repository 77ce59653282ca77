#include "coordination/decisions/batch/BatchPlanner.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::Resources;

namespace {

    // Weight of left-over cores against left-over accelerators: a worker has about four cores for each accelerator.
    constexpr double acceleratorsPerMilliCore = 1.0 / 4'000;
    // Left-over cores count half, because accelerators are scarcer.
    constexpr double coreWeight = 0.5;
    // A worker that is slower by half is worth a left-over of four accelerators.
    constexpr double slownessWeight = 8;

    // How much an early start of the unit is still worth.
    enum class Stage {
        OnTime,
        Late,
        Worthless,
    };

    Stage stageOf(const BatchUnit& unit, state::MonotonicTime now)
    {
        if (now + unit.estimate <= unit.deadline)
            return Stage::OnTime;
        if (now + unit.estimate <= unit.worthlessAfter)
            return Stage::Late;
        return Stage::Worthless;
    }

    // Best place of one task among some workers: the lower the better.
    constexpr double noPlace = std::numeric_limits<double>::infinity();

} // namespace

struct BatchPlanner::Victims {
    std::vector<std::size_t> groups;
    double loss = 0;
};

struct BatchPlanner::PreemptionPlan {
    WorkerChoice workers;
    std::set<std::size_t> groups;
    double loss = 0;
};

BatchPlanner::BatchPlanner(const PlannerOptions& options, PlanInput input)
    : m_options(options)
    , m_input(std::move(input))
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    for (const WorkerRoom& room : m_input.workers) {
        total += room.worker.capacity.accelerators;
        free += room.free.accelerators;
    }
    m_useShare = total > 0 ? 1 - static_cast<double>(free) / static_cast<double>(total) : 0;
}

BatchPlan BatchPlanner::plan()
{
    for (std::size_t unit : order())
        placeUnit(unit);
    return std::move(m_plan);
}

std::vector<std::size_t> BatchPlanner::order() const
{
    auto key = [this](std::size_t index) {
        const BatchUnit& unit = m_input.units[index];
        Stage stage = stageOf(unit, m_input.now);
        double rank = stage == Stage::Late
            ? -unit.density
            : std::chrono::duration<double>((unit.deadline - unit.estimate).time_since_epoch()).count();
        return std::tuple(!unit.guaranteed, stage == Stage::Worthless, unit.priority, stage, rank, index);
    };
    std::vector<std::size_t> order(m_input.units.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
    return order;
}

bool BatchPlanner::farAllowed(const BatchUnit& unit) const
{
    auto waited = m_input.now - unit.readySince;
    if (waited >= m_options.idleFarPatience && m_useShare < 0.5)
        return true;
    return waited >= std::chrono::duration<double>(unit.estimate) * m_options.farPatience;
}

void BatchPlanner::placeUnit(std::size_t index)
{
    const BatchUnit& whole = m_input.units[index];
    std::size_t parts = whole.gang ? 1 : whole.indices.size();
    for (std::size_t part = 0; part < parts; ++part) {
        BatchUnit unit = whole;
        if (!whole.gang)
            unit.indices = { whole.indices[part] };
        if (auto choice = choosePlaces(unit, false, false)) {
            take(index, *choice, part);
            continue;
        }
        // What is served after others must not stop runs, because the others would take the room.
        bool mayPreempt = unit.priority == 0 && (unit.guaranteed || stageOf(unit, m_input.now) != Stage::Worthless);
        if (mayPreempt) {
            if (auto choice = choosePlaces(unit, true, false)) {
                keepRoom(unit, *choice);
                continue;
            }
            if (preempt(index, unit, false))
                continue;
        }
        // A guaranteed unit starts even where it is slow.
        if (unit.guaranteed || farAllowed(unit)) {
            if (auto choice = choosePlaces(unit, false, true)) {
                take(index, *choice, part);
                continue;
            }
        }
        if (unit.guaranteed && preempt(index, unit, true))
            continue;
        if (m_input.now - unit.readySince >= m_options.reservationDelay)
            reserve(unit);
        // The other tasks of the step are of the same size and would not fit either.
        return;
    }
}

bool BatchPlanner::eligible(
    const BatchUnit& unit, const WorkerRoom& room, const std::string* rack, bool avoidFailed) const
{
    if (room.worker.service != unit.service)
        return false;
    if (rack && room.worker.rack != *rack)
        return false;
    if (!unit.requiredLabel.empty() && !room.worker.labels.contains(unit.requiredLabel))
        return false;
    return !avoidFailed || !unit.avoid.contains(room.worker.id);
}

double BatchPlanner::fitScore(const BatchUnit& unit, const Resources& free, const WorkerRoom& room) const
{
    if (!unit.need.fitsInto(free))
        return noPlace;
    double accelerators = static_cast<double>(free.accelerators - unit.need.accelerators);
    double cores = static_cast<double>(free.milliCores - unit.need.milliCores) * acceleratorsPerMilliCore;
    return accelerators + coreWeight * cores + slownessWeight * (room.slowness - 1);
}

std::optional<BatchPlanner::WorkerChoice> BatchPlanner::chooseInRack(
    const BatchUnit& unit, const std::string* rack, bool soon, std::size_t count) const
{
    for (bool avoidFailed : { true, false }) {
        if (!avoidFailed && unit.avoid.empty())
            break;
        std::map<std::size_t, Resources> taken;
        std::map<std::size_t, int> placed;
        WorkerChoice choice;
        for (std::size_t task = 0; task < count; ++task) {
            double bestScore = noPlace;
            std::size_t best = 0;
            for (std::size_t worker = 0; worker < m_input.workers.size(); ++worker) {
                const WorkerRoom& room = m_input.workers[worker];
                if (!eligible(unit, room, rack, avoidFailed))
                    continue;
                if (unit.maximumPerWorker > 0) {
                    auto already = unit.onWorker.find(room.worker.id);
                    int used = (already == unit.onWorker.end() ? 0 : already->second) + placed[worker];
                    if (used >= unit.maximumPerWorker)
                        continue;
                }
                Resources free = soon ? room.freeSoon : room.free;
                if (auto used = taken.find(worker); used != taken.end())
                    free -= used->second;
                double score = fitScore(unit, free, room);
                if (score < bestScore) {
                    bestScore = score;
                    best = worker;
                }
            }
            if (bestScore == noPlace)
                break;
            taken[best] += unit.need;
            ++placed[best];
            choice.push_back(best);
        }
        if (choice.size() == count)
            return choice;
    }
    return std::nullopt;
}

std::vector<std::string> BatchPlanner::racks() const
{
    std::set<std::string> names;
    for (const WorkerRoom& room : m_input.workers)
        names.insert(room.worker.rack);
    return { names.begin(), names.end() };
}

std::optional<BatchPlanner::WorkerChoice> BatchPlanner::choosePlaces(const BatchUnit& unit, bool soon, bool far) const
{
    std::size_t count = unit.indices.size();
    if (far)
        return chooseInRack(unit, nullptr, soon, count);
    if (!unit.preferredRack.empty())
        return chooseInRack(unit, &unit.preferredRack, soon, count);
    if (!unit.gang || !unit.sameRack || count == 1)
        return chooseInRack(unit, nullptr, soon, count);
    // The fullest rack that holds the gang keeps the others free for larger gangs.
    std::optional<WorkerChoice> best;
    std::int64_t bestFree = 0;
    for (const std::string& rack : racks()) {
        std::int64_t free = 0;
        for (const WorkerRoom& room : m_input.workers) {
            if (room.worker.rack == rack)
                free += room.free.accelerators;
        }
        if (best && free >= bestFree)
            continue;
        if (auto choice = chooseInRack(unit, &rack, soon, count)) {
            best = std::move(choice);
            bestFree = free;
        }
    }
    return best;
}

void BatchPlanner::take(std::size_t unit, const WorkerChoice& choice, std::size_t first)
{
    BatchUnit& placed = m_input.units[unit];
    for (std::size_t task = 0; task < choice.size(); ++task) {
        WorkerRoom& room = m_input.workers[choice[task]];
        room.free -= placed.need;
        room.freeSoon -= placed.need;
        ++placed.onWorker[room.worker.id];
        m_plan.placements.push_back({ .unit = unit, .index = placed.indices[first + task], .worker = choice[task] });
    }
}

void BatchPlanner::keepRoom(const BatchUnit& unit, const WorkerChoice& choice)
{
    for (std::size_t worker : choice) {
        m_input.workers[worker].free -= unit.need;
        m_input.workers[worker].freeSoon -= unit.need;
    }
}

bool BatchPlanner::mayPreempt(const BatchUnit& unit, const RunningGroup& group) const
{
    if (group.priority > unit.priority)
        return true;
    return unit.guaranteed && !group.guaranteed;
}

std::optional<BatchPlanner::Victims> BatchPlanner::chooseVictims(const BatchUnit& unit, const WorkerRoom& room,
    Resources available, const std::set<std::size_t>& alreadyChosen) const
{
    std::map<std::size_t, Resources> roomOfGroup;
    for (const WorkerRoom::Run& run : room.runs) {
        if (!run.leaving && !alreadyChosen.contains(run.group) && mayPreempt(unit, m_input.groups[run.group]))
            roomOfGroup[run.group] += run.need;
    }
    std::vector<std::size_t> candidates;
    candidates.reserve(roomOfGroup.size());
    for (const auto& [group, resources] : roomOfGroup)
        candidates.push_back(group);
    auto lossOf = [this](std::size_t group) { return m_input.groups[group].loss; };
    std::sort(candidates.begin(), candidates.end(),
        [&](std::size_t a, std::size_t b) { return std::pair(lossOf(a), a) < std::pair(lossOf(b), b); });
    std::vector<std::size_t> chosen;
    for (std::size_t group : candidates) {
        if (unit.need.fitsInto(available))
            break;
        chosen.push_back(group);
        available += roomOfGroup[group];
    }
    if (!unit.need.fitsInto(available))
        return std::nullopt;
    // A later victim may have made an earlier one needless.
    Victims victims;
    for (std::size_t index = chosen.size(); index-- > 0;) {
        std::size_t group = chosen[index];
        Resources without = available;
        without -= roomOfGroup[group];
        if (unit.need.fitsInto(without)) {
            available = without;
            continue;
        }
        victims.groups.push_back(group);
        victims.loss += lossOf(group);
    }
    return victims;
}

std::optional<BatchPlanner::PreemptionPlan> BatchPlanner::planPreemption(
    const BatchUnit& unit, const std::string* rack) const
{
    PreemptionPlan plan;
    std::vector<Resources> free;
    free.reserve(m_input.workers.size());
    for (const WorkerRoom& room : m_input.workers)
        free.push_back(room.freeSoon);
    std::map<std::size_t, int> placed;
    auto addGroup = [&](std::size_t group) {
        plan.groups.insert(group);
        plan.loss += m_input.groups[group].loss;
        for (std::size_t worker = 0; worker < m_input.workers.size(); ++worker) {
            for (const WorkerRoom::Run& run : m_input.workers[worker].runs) {
                if (run.group == group && !run.leaving)
                    free[worker] += run.need;
            }
        }
    };
    for (std::size_t task = 0; task < unit.indices.size(); ++task) {
        double bestLoss = noPlace;
        std::size_t best = 0;
        std::vector<std::size_t> bestGroups;
        for (std::size_t worker = 0; worker < m_input.workers.size(); ++worker) {
            const WorkerRoom& room = m_input.workers[worker];
            if (!eligible(unit, room, rack, true))
                continue;
            if (unit.maximumPerWorker > 0) {
                auto already = unit.onWorker.find(room.worker.id);
                int used = (already == unit.onWorker.end() ? 0 : already->second) + placed[worker];
                if (used >= unit.maximumPerWorker)
                    continue;
            }
            std::optional<Victims> victims = chooseVictims(unit, room, free[worker], plan.groups);
            if (!victims || victims->loss >= bestLoss)
                continue;
            bestLoss = victims->loss;
            best = worker;
            bestGroups = victims->groups;
        }
        if (bestLoss == noPlace)
            return std::nullopt;
        for (std::size_t group : bestGroups)
            addGroup(group);
        free[best] -= unit.need;
        ++placed[best];
        plan.workers.push_back(best);
    }
    return plan;
}

bool BatchPlanner::preempt(std::size_t index, const BatchUnit& unit, bool far)
{
    std::optional<PreemptionPlan> best;
    auto consider = [&](const std::string* rack) {
        std::optional<PreemptionPlan> plan = planPreemption(unit, rack);
        if (plan && (!best || plan->loss < best->loss))
            best = std::move(plan);
    };
    if (!far && !unit.preferredRack.empty()) {
        consider(&unit.preferredRack);
    } else if (!far && unit.gang && unit.sameRack) {
        for (const std::string& rack : racks())
            consider(&rack);
    } else {
        consider(nullptr);
    }
    if (!best)
        return false;
    for (std::size_t group : best->groups) {
        m_plan.preemptions.push_back({ .group = group, .unit = index });
        for (WorkerRoom& room : m_input.workers) {
            for (WorkerRoom::Run& run : room.runs) {
                if (run.group != group || run.leaving)
                    continue;
                run.leaving = true;
                room.freeSoon += run.need;
            }
        }
    }
    keepRoom(unit, best->workers);
    return true;
}

void BatchPlanner::reserve(const BatchUnit& unit)
{
    if (m_reservations >= m_options.maximumReservations)
        return;
    const std::string* rack = unit.preferredRack.empty() ? nullptr : &unit.preferredRack;
    std::string chosenRack;
    if (!rack && unit.gang && unit.sameRack) {
        std::int64_t bestFree = -1;
        for (const std::string& name : racks()) {
            std::int64_t free = 0;
            for (const WorkerRoom& room : m_input.workers) {
                if (eligible(unit, room, &name, false))
                    free += std::max<std::int64_t>(0, room.freeSoon.accelerators);
            }
            if (free > bestFree) {
                bestFree = free;
                chosenRack = name;
            }
        }
        rack = &chosenRack;
    }
    ++m_reservations;
    for (std::size_t task = 0; task < unit.indices.size(); ++task) {
        std::optional<std::size_t> best;
        for (std::size_t worker = 0; worker < m_input.workers.size(); ++worker) {
            const WorkerRoom& room = m_input.workers[worker];
            if (!eligible(unit, room, rack, false) || !unit.need.fitsInto(room.worker.capacity))
                continue;
            if (!best || room.freeSoon.accelerators > m_input.workers[*best].freeSoon.accelerators)
                best = worker;
        }
        if (!best)
            return;
        m_input.workers[*best].free -= unit.need;
        m_input.workers[*best].freeSoon -= unit.need;
    }
}

} // namespace lentilsaddle::coordination::batch
