#include "coordination/decisions/CellPlanner.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    /// Places that are checked against the cells for one job. Each check assigns all cells anew.
    constexpr std::size_t maximumCheckedFits = 16;
    /// Reservations beyond the first one at completion weight 0. Each keeps free accelerators out of use.
    constexpr double furtherReservations = 4;
} // namespace

CellPlanner::CellPlanner(const state::PlacementState& placement, const std::vector<QueuedJob>& queue,
    state::MonotonicTime now, const CellPlacementOptions& options)
    : m_queue(queue)
    , m_now(now)
    , m_options(options)
    , m_view(placement)
    , m_cells(m_view)
    , m_picker(m_view)
    , m_filter(m_view)
    , m_free(m_view.freeAccelerators())
    , m_borrowed(m_view, m_cells)
    , m_reserved(m_view, options.completionWeight)
    , m_progress(queue.size(), Progress::Waiting)
{
    m_bypassed.reserve(queue.size());
    for (const QueuedJob& job : queue)
        m_bypassed.push_back(job.bypassed);
}

PlacementPlan CellPlanner::plan()
{
    reserveForHead();
    planGuaranteed();
    planBorrowers();
    return std::move(m_plan);
}

void CellPlanner::planGuaranteed()
{
    std::vector<std::size_t> order(m_queue.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_partition(
        order.begin(), order.end(), [this](std::size_t job) { return m_queue[job].specification.urgent; });
    for (std::size_t job : order) {
        const state::JobSpecification& specification = m_queue[job].specification;
        if (!m_cells.covers(specification.account, specification.shape) || passesOwnAccount(job))
            continue;
        if (startInCells(job))
            continue;
        // A guarantee ranks above a reservation, which moves elsewhere if the job needs its accelerators.
        m_reserved.release(m_free);
        if (!startInCells(job))
            reclaim(job);
        reserveForHead();
    }
}

void CellPlanner::reserveForHead()
{
    m_head.reset();
    for (std::size_t job = 0; job < m_queue.size() && !m_head; ++job) {
        const state::JobSpecification& specification = m_queue[job].specification;
        if (m_progress[job] != Progress::Waiting || !m_filter.possible(m_queue[job])
            || m_cells.covers(specification.account, specification.shape)
            || bestGangFit(m_view, specification.shape, m_filter.permitted(m_queue[job], m_free)))
            continue;
        reserve(job);
        m_head = job;
    }
}

bool CellPlanner::passesOwnAccount(std::size_t job)
{
    if (m_queue[job].specification.urgent)
        return false;
    for (std::size_t earlier = 0; earlier < job; ++earlier) {
        if (m_progress[earlier] == Progress::Waiting && bypassExhausted(earlier) && m_filter.possible(m_queue[earlier])
            && m_queue[earlier].specification.account == m_queue[job].specification.account)
            return true;
    }
    return false;
}

bool CellPlanner::startInCells(std::size_t job)
{
    AcceleratorCounts free = m_filter.permitted(m_queue[job], m_free);
    auto fit = absorbedFit(job, { .easy = free, .whole = free });
    if (!fit)
        return false;
    subtract(m_free, fit->tasks);
    start(job, *fit, true);
    return true;
}

bool CellPlanner::reclaim(std::size_t job)
{
    AcceleratorCounts whole = m_filter.permitted(m_queue[job], m_cells.room());
    AcceleratorCounts easy = m_free;
    for (std::size_t i = 0; i < easy.size(); ++i)
        easy[i] = std::min(whole[i], easy[i] + m_borrowed.leaving()[i]);
    auto fit = absorbedFit(job, { .easy = easy, .whole = whole });
    if (!fit)
        return false;
    for (int victim : m_borrowed.claim(fit->tasks, m_free))
        m_plan.preemptions.push_back(*m_view.jobs()[static_cast<std::size_t>(victim)].id);
    m_plan.reclaiming.push_back(m_queue[job].specification.id);
    m_progress[job] = Progress::Reclaiming;
    // The job's start counts ahead, so that the bound within its account does not stop it after the preemption.
    countBypass(job);
    return true;
}

std::optional<GangFit> CellPlanner::absorbedFit(std::size_t job, const GangCapacity& room)
{
    const state::JobSpecification& specification = m_queue[job].specification;
    AcceleratorCounts easy;
    AcceleratorCounts whole;
    GangCapacity own = ownRoom(specification.account, room, easy, whole);
    // A shape in few racks outweighs the work that borrowers lose. Among equal places the account's own cells come
    // first, since the other cells keep their places. Some of them are always checked.
    auto better = [](const RankedFit& left, const RankedFit& right) {
        return std::tie(left.fit.racks, left.victimCost) < std::tie(right.fit.racks, right.victimCost);
    };
    std::vector<RankedFit> ranked = rankedFits(specification.shape, own);
    std::vector<RankedFit> others = rankedFits(specification.shape, room);
    for (std::vector<RankedFit>* fits : { &ranked, &others }) {
        std::stable_sort(fits->begin(), fits->end(), better);
        fits->resize(std::min(fits->size(), maximumCheckedFits));
    }
    ranked.insert(packsFirst() ? ranked.begin() : ranked.end(), std::make_move_iterator(others.begin()),
        std::make_move_iterator(others.end()));
    std::stable_sort(ranked.begin(), ranked.end(), better);
    for (RankedFit& candidate : ranked) {
        if (m_cells.absorb(specification.account, candidate.fit.tasks))
            return std::move(candidate.fit);
    }
    return std::nullopt;
}

std::vector<CellPlanner::RankedFit> CellPlanner::rankedFits(
    const state::GangShape& shape, const GangCapacity& room) const
{
    std::vector<RankedFit> ranked;
    for (GangFit& fit : gangFits(m_view, shape, room)) {
        int cost = fit.excess == 0 ? 0 : m_borrowed.accelerators(m_borrowed.victims(fit.tasks, m_free));
        ranked.push_back({ .fit = std::move(fit), .victimCost = cost });
    }
    return ranked;
}

GangCapacity CellPlanner::ownRoom(
    const state::AccountId& account, const GangCapacity& room, AcceleratorCounts& easy, AcceleratorCounts& whole) const
{
    whole.assign(room.whole.size(), 0);
    for (const GuaranteeCells::Cell& cell : m_cells.cells()) {
        if (*cell.account != account)
            continue;
        for (const GangTask& part : cell.rest)
            whole[static_cast<std::size_t>(part.worker)] += part.accelerators;
    }
    easy = whole;
    for (std::size_t i = 0; i < whole.size(); ++i) {
        whole[i] = std::min(whole[i], room.whole[i]);
        easy[i] = std::min(easy[i], room.easy[i]);
    }
    return { .easy = easy, .whole = whole };
}

void CellPlanner::planBorrowers()
{
    std::vector<std::size_t> blocked;
    auto allowed = static_cast<std::size_t>(std::lround(1 + (1 - m_options.completionWeight) * furtherReservations));
    for (std::size_t job = 0; job < m_queue.size(); ++job) {
        if (m_progress[job] == Progress::Started)
            continue;
        if (std::any_of(blocked.begin(), blocked.end(), [this](std::size_t other) { return bypassExhausted(other); }))
            return;
        if (m_progress[job] == Progress::Reclaiming) {
            blocked.push_back(job);
            continue;
        }
        if (borrow(job) || !m_filter.possible(m_queue[job]))
            continue;
        if (m_head != job && (m_reserved.size() < allowed || bypassExhausted(job)))
            reserve(job);
        if (!m_head)
            m_head = job;
        blocked.push_back(job);
    }
}

bool CellPlanner::borrow(std::size_t job)
{
    const state::JobSpecification& specification = m_queue[job].specification;
    auto fit = bestGangFit(m_view, specification.shape, m_filter.permitted(m_queue[job], m_free));
    if (!fit && m_reserved.size() > 0) {
        AcceleratorCounts lent = m_reserved.lend(m_free, specification.declaredRunTime);
        fit = bestGangFit(m_view, specification.shape, m_filter.permitted(m_queue[job], lent));
    }
    if (!fit)
        return false;
    m_reserved.use(fit->tasks, m_free);
    start(job, *fit, false);
    return true;
}

void CellPlanner::reserve(std::size_t job)
{
    AcceleratorCounts free = m_filter.permitted(m_queue[job], m_free);
    AcceleratorCounts capacity = m_filter.permitted(m_queue[job], m_view.capacity());
    auto reservation
        = soonestReservation(m_view, m_queue[job].specification.shape, { .easy = free, .whole = capacity }, m_now);
    if (reservation)
        m_reserved.keep(*reservation, m_free);
}

void CellPlanner::start(std::size_t job, const GangFit& fit, bool withinGuarantee)
{
    m_plan.starts.push_back({ .job = m_queue[job].specification.id,
        .placements = m_picker.pick(fit.tasks),
        .withinGuarantee = withinGuarantee });
    m_progress[job] = Progress::Started;
    countBypass(job);
}

void CellPlanner::countBypass(std::size_t job)
{
    for (std::size_t earlier = 0; earlier < job; ++earlier)
        m_bypassed[earlier] += m_progress[earlier] == Progress::Started ? 0 : 1;
}

} // namespace lentilsaddle::coordination
