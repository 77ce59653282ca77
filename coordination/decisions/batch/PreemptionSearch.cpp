#include "coordination/decisions/batch/PreemptionSearch.h"

#include "coordination/decisions/batch/Backfill.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::Resources;

namespace {

    constexpr double impossible = std::numeric_limits<double>::infinity();

} // namespace

PreemptionSearch::PreemptionSearch(const CapacityIndex& capacity, const std::vector<RunningGroup>& groups)
    : m_capacity(capacity)
    , m_groups(groups)
    , m_runsOfGroup(groups.size())
    , m_groupsOnWorker(capacity.workers().size())
    , m_offers(capacity.workers().size())
    , m_selected(groups.size(), false)
{
    for (std::size_t worker = 0; worker < capacity.workers().size(); ++worker) {
        const std::vector<WorkerView::Run>& runs = capacity.workers()[worker].runs;
        for (std::size_t run = 0; run < runs.size(); ++run)
            m_runsOfGroup[runs[run].group].push_back({ .worker = worker, .run = run });
    }
}

const std::vector<PreemptionSearch::GroupAllocation>& PreemptionSearch::groupsOnWorker(std::size_t worker)
{
    std::optional<std::vector<GroupAllocation>>& cached = m_groupsOnWorker[worker];
    if (cached)
        return *cached;
    cached.emplace();
    for (const WorkerView::Run& run : m_capacity.workers()[worker].runs) {
        if (run.stopping)
            continue;
        auto known = std::find_if(
            cached->begin(), cached->end(), [&](const GroupAllocation& other) { return other.group == run.group; });
        if (known == cached->end())
            cached->push_back({ .group = run.group, .resources = run.resources });
        else
            known->resources += run.resources;
    }
    std::sort(cached->begin(), cached->end(), [this](const GroupAllocation& a, const GroupAllocation& b) {
        return std::pair(m_groups[a.group].loss, a.group) < std::pair(m_groups[b.group].loss, b.group);
    });
    return *cached;
}

bool PreemptionSearch::mayStop(const BatchUnit& unit, std::size_t group, Victims victims) const
{
    const RunningGroup& running = m_groups[group];
    if (victims == Victims::Backfilled)
        return mayEndBackfill(unit, running);
    return running.priority > unit.priority || (unit.guaranteed && !running.guaranteed);
}

void PreemptionSearch::updateOffer(Offer& offer, const BatchUnit& unit, std::size_t worker, Victims allowed)
{
    offer.valid = true;
    offer.victims.clear();
    offer.loss = impossible;
    if (offer.allowed <= 0)
        return;
    Resources available = offer.free;
    std::vector<const GroupAllocation*> victims;
    for (const GroupAllocation& candidate : groupsOnWorker(worker)) {
        if (unit.resources.fitsInto(available))
            break;
        if (m_selected[candidate.group] || !mayStop(unit, candidate.group, allowed))
            continue;
        victims.push_back(&candidate);
        available += candidate.resources;
    }
    if (!unit.resources.fitsInto(available))
        return;
    offer.loss = 0;
    // A later victim may have made an earlier one unnecessary.
    for (std::size_t index = victims.size(); index-- > 0;) {
        Resources without = available;
        without -= victims[index]->resources;
        if (unit.resources.fitsInto(without)) {
            available = without;
            continue;
        }
        offer.victims.push_back(victims[index]->group);
        offer.loss += m_groups[victims[index]->group].loss;
    }
}

void PreemptionSearch::addVictim(std::size_t group, Result& result)
{
    m_selected[group] = true;
    result.groups.push_back(group);
    result.loss += m_groups[group].loss;
    for (const RunLocation& location : m_runsOfGroup[group]) {
        const WorkerView::Run& run = m_capacity.workers()[location.worker].runs[location.run];
        if (run.stopping)
            continue;
        m_offers[location.worker].free += run.resources;
        m_offers[location.worker].valid = false;
    }
}

std::optional<PreemptionSearch::Result> PreemptionSearch::find(
    const BatchUnit& unit, const std::vector<std::size_t>& candidates, double lossLimit, Victims victims)
{
    std::vector<std::size_t> usable;
    for (std::size_t worker : candidates) {
        const WorkerView& view = m_capacity.workers()[worker];
        if (!unit.resources.fitsInto(view.worker.capacity) || !m_capacity.eligible(unit, worker)
            || unit.avoidedWorkers.contains(view.worker.id))
            continue;
        usable.push_back(worker);
        Offer& offer = m_offers[worker];
        offer.free = view.freeAfterStops;
        offer.allowed = CapacityIndex::tasksAllowed(unit, view);
        offer.valid = false;
    }
    Result result;
    bool complete = true;
    for (std::size_t task = 0; complete && task < unit.indices.size(); ++task) {
        double bestLoss = impossible;
        std::size_t best = 0;
        for (std::size_t worker : usable) {
            Offer& offer = m_offers[worker];
            if (!offer.valid)
                updateOffer(offer, unit, worker, victims);
            if (offer.loss >= bestLoss)
                continue;
            bestLoss = offer.loss;
            best = worker;
            if (bestLoss == 0)
                break;
        }
        complete = result.loss + bestLoss < lossLimit;
        if (!complete)
            break;
        std::vector<std::size_t> taken = m_offers[best].victims;
        for (std::size_t group : taken)
            addVictim(group, result);
        Offer& offer = m_offers[best];
        offer.free -= unit.resources;
        --offer.allowed;
        offer.valid = false;
        result.workers.push_back(best);
    }
    for (std::size_t group : result.groups)
        m_selected[group] = false;
    if (!complete)
        return std::nullopt;
    return result;
}

} // namespace lentilsaddle::coordination::batch
