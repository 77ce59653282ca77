#include "coordination/decisions/batch/CapacityIndex.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <map>
#include <numeric>
#include <queue>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::Resources;

namespace {

    // Weight of left-over cores against left-over accelerators: a worker has about four cores for each accelerator.
    constexpr double acceleratorsPerMilliCore = 1.0 / 4'000;
    // Left-over cores count half, because accelerators are scarcer.
    constexpr double coreWeight = 0.5;
    // A worker that is slower by half is penalised like four left-over accelerators.
    constexpr double slownessWeight = 8;
    // Above the differences in fit, so that urgent work starts on a cold worker only where no other fits.
    constexpr double coldPenalty = 500;
    // The same for a fast worker that is left to units without slack.
    constexpr double sparedSpeedWeight = 8;
    // Above every other score, so that a worker where the step failed comes last.
    constexpr double failedBeforePenalty = 1'000;

    // Above the penalties for the runs of a worker.
    constexpr double overlappingStartPenalty = 1'000;
    // A task that may crash its worker ends each other run there.
    constexpr double endangeredRunPenalty = 20;

    // Whether starts on the worker would leave open which of them crashed it.
    bool startsOverlap(const BatchUnit& unit, const WorkerView& view)
    {
        return view.isolatedStartPending || (unit.isolatedStart && !unit.isolationWaitOver && view.startPending);
    }

    bool avoidsColdWorkers(const BatchUnit& unit)
    {
        return unit.guaranteed || unit.priority == 0;
    }

    struct Candidate {
        double score = 0;
        std::size_t worker = 0;
        Resources free;
        int allowed = 0;

        bool operator>(const Candidate& other) const
        {
            return std::pair(score, worker) > std::pair(other.score, other.worker);
        }
    };

    // Best-fit score: the lower, the less capacity is left over.
    double fitScore(const Resources& free, const Resources& resources)
    {
        auto accelerators = static_cast<double>(free.accelerators - resources.accelerators);
        double cores = static_cast<double>(free.milliCores - resources.milliCores) * acceleratorsPerMilliCore;
        return accelerators + coreWeight * cores;
    }

    // Free accelerators; none if the capacity has shrunk below what is allocated, or more is reserved than is free yet.
    std::int64_t usableAccelerators(const WorkerView& view)
    {
        return std::max<std::int64_t>(0, view.free.accelerators);
    }

} // namespace

CapacityIndex::CapacityIndex(std::vector<WorkerView> workers)
    : m_workers(std::move(workers))
    , m_rackOf(m_workers.size())
    , m_allWorkers(m_workers.size())
{
    std::iota(m_allWorkers.begin(), m_allWorkers.end(), std::size_t { 0 });
    std::map<std::string, std::size_t> positions;
    std::int64_t total = 0;
    std::int64_t free = 0;
    for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
        const WorkerView& view = m_workers[worker];
        auto [position, added] = positions.try_emplace(view.worker.rack, m_racks.size());
        if (added)
            m_racks.push_back({ .name = view.worker.rack });
        Rack& rack = m_racks[position->second];
        rack.workers.push_back(worker);
        rack.freeAccelerators += usableAccelerators(view);
        m_rackOf[worker] = position->second;
        m_unreserved.push_back(view.worker.capacity);
        double& slowest = m_slowestRunTime.try_emplace(view.worker.service, 1).first->second;
        slowest = std::max(slowest, view.relativeRunTime);
        total += view.worker.capacity.accelerators;
        free += usableAccelerators(view);
    }
    m_utilisation = total > 0 ? 1 - static_cast<double>(free) / static_cast<double>(total) : 0;
}

double CapacityIndex::slowestRunTime(const state::ServiceId& service) const
{
    auto found = m_slowestRunTime.find(service);
    return found == m_slowestRunTime.end() ? 1 : found->second;
}

const std::vector<std::size_t>& CapacityIndex::workersInRack(const std::string& rack) const
{
    static const std::vector<std::size_t> none;
    auto found = std::find_if(m_racks.begin(), m_racks.end(), [&](const Rack& known) { return known.name == rack; });
    return found == m_racks.end() ? none : found->workers;
}

bool CapacityIndex::eligible(const BatchUnit& unit, std::size_t worker) const
{
    const WorkerView& view = m_workers[worker];
    if (view.worker.service != unit.service || view.relativeRunTime > unit.maximumRelativeRunTime)
        return false;
    return unit.requiredLabel.empty() || view.worker.labels.contains(unit.requiredLabel);
}

int CapacityIndex::tasksAllowed(const BatchUnit& unit, const WorkerView& view)
{
    if (unit.maximumPerWorker <= 0)
        return std::numeric_limits<int>::max();
    auto already = unit.runningOnWorker.find(view.worker.id);
    return unit.maximumPerWorker - (already == unit.runningOnWorker.end() ? 0 : already->second);
}

CapacityIndex::Assignment CapacityIndex::selectWorkers(
    const BatchUnit& unit, const std::vector<std::size_t>& candidates, Free free, std::size_t count) const
{
    std::vector<Candidate> entries;
    for (std::size_t worker : candidates) {
        const WorkerView& view = m_workers[worker];
        const Resources& available = free == Free::AfterStops ? view.freeAfterStops : view.free;
        if (!unit.resources.fitsInto(available) || !eligible(unit, worker))
            continue;
        int allowed = tasksAllowed(unit, view);
        if (allowed <= 0 || startsOverlap(unit, view))
            continue;
        double penalty = slownessWeight * (view.slowness - 1);
        if (view.cold && avoidsColdWorkers(unit))
            penalty += coldPenalty;
        if (unit.sparesFastWorkers)
            penalty -= sparedSpeedWeight * std::log2(view.relativeRunTime);
        if (!unit.avoidedWorkers.empty() && unit.avoidedWorkers.contains(view.worker.id))
            penalty += failedBeforePenalty;
        if (unit.isolatedStart)
            penalty += endangeredRunPenalty * static_cast<double>(view.runs.size());
        if (unit.isolatedStart && view.startPending)
            penalty += overlappingStartPenalty;
        entries.push_back({ .score = fitScore(available, unit.resources) + penalty,
            .worker = worker,
            .free = available,
            .allowed = allowed });
    }
    // The score of a worker changes only when a task is placed there, so the top of the heap is always the best.
    std::priority_queue heap(std::greater<> {}, std::move(entries));
    Assignment assignment;
    while (assignment.size() < count && !heap.empty()) {
        Candidate best = heap.top();
        heap.pop();
        assignment.push_back(best.worker);
        best.score -= fitScore(best.free, unit.resources);
        best.free -= unit.resources;
        best.score += fitScore(best.free, unit.resources);
        if (--best.allowed > 0 && unit.resources.fitsInto(best.free))
            heap.push(best);
    }
    return assignment;
}

CapacityIndex::Assignment CapacityIndex::selectRack(const BatchUnit& unit, Free free) const
{
    std::size_t count = unit.indices.size();
    std::int64_t needed = unit.resources.accelerators * static_cast<std::int64_t>(count);
    std::vector<const Rack*> order;
    for (const Rack& rack : m_racks) {
        if (free == Free::AfterStops || rack.freeAccelerators >= needed)
            order.push_back(&rack);
    }
    // Using the fullest rack that fits the gang keeps the others free for larger gangs.
    std::stable_sort(order.begin(), order.end(),
        [](const Rack* a, const Rack* b) { return a->freeAccelerators < b->freeAccelerators; });
    if (avoidsColdWorkers(unit)) {
        for (const Rack* rack : order) {
            std::vector<std::size_t> warm;
            std::ranges::copy_if(rack->workers, std::back_inserter(warm),
                [this](std::size_t worker) { return !m_workers[worker].cold; });
            if (Assignment assignment = selectWorkers(unit, warm, free, count); assignment.size() == count)
                return assignment;
        }
    }
    for (const Rack* rack : order) {
        Assignment assignment = selectWorkers(unit, rack->workers, free, count);
        if (assignment.size() == count)
            return assignment;
    }
    return {};
}

int CapacityIndex::reservableTasks(const BatchUnit& unit, std::size_t worker) const
{
    if (!eligible(unit, worker))
        return 0;
    int limit = std::min(tasksAllowed(unit, m_workers[worker]), static_cast<int>(unit.indices.size()));
    Resources left = m_unreserved[worker];
    int tasks = 0;
    for (; tasks < limit && unit.resources.fitsInto(left); ++tasks)
        left -= unit.resources;
    return tasks;
}

CapacityIndex::Assignment CapacityIndex::selectForReservation(
    const BatchUnit& unit, const std::vector<std::size_t>& candidates) const
{
    struct Slots {
        std::int64_t freeAccelerators = 0;
        /// Position among the candidates, negated so that the first of equal workers is the greatest.
        std::ptrdiff_t order = 0;
        std::size_t worker = 0;
        int tasks = 0;

        bool operator<(const Slots& other) const
        {
            return std::pair(freeAccelerators, order) < std::pair(other.freeAccelerators, other.order);
        }
    };
    std::priority_queue<Slots> heap;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        std::size_t worker = candidates[position];
        if (int tasks = reservableTasks(unit, worker); tasks > 0)
            heap.push({ .freeAccelerators = m_workers[worker].freeAfterStops.accelerators,
                .order = -static_cast<std::ptrdiff_t>(position),
                .worker = worker,
                .tasks = tasks });
    }
    Assignment assignment;
    while (assignment.size() < unit.indices.size() && !heap.empty()) {
        Slots best = heap.top();
        heap.pop();
        assignment.push_back(best.worker);
        best.freeAccelerators -= unit.resources.accelerators;
        if (--best.tasks > 0)
            heap.push(best);
    }
    return assignment;
}

void CapacityIndex::reserve(std::size_t worker, const Resources& resources)
{
    m_unreserved[worker] -= resources;
    allocate(worker, resources);
}

void CapacityIndex::allocate(std::size_t worker, const Resources& resources)
{
    WorkerView& view = m_workers[worker];
    std::int64_t usableBefore = usableAccelerators(view);
    view.free -= resources;
    view.freeAfterStops -= resources;
    m_racks[m_rackOf[worker]].freeAccelerators += usableAccelerators(view) - usableBefore;
}

void CapacityIndex::release(std::size_t worker, const Resources& resources)
{
    Resources negative;
    negative -= resources;
    allocate(worker, negative);
}

void CapacityIndex::markStarting(std::size_t worker, const BatchUnit& unit)
{
    WorkerView& view = m_workers[worker];
    view.startPending = true;
    view.isolatedStartPending = view.isolatedStartPending || unit.isolatedStart;
}

void CapacityIndex::markStopping(std::size_t worker, std::size_t run)
{
    WorkerView& view = m_workers[worker];
    view.runs[run].stopping = true;
    view.freeAfterStops += view.runs[run].resources;
}

} // namespace lentilsaddle::coordination::batch
