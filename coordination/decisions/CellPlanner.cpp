#include "coordination/decisions/CellPlanner.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    /// Places that are checked against the cells for one job. Each check assigns all cells anew.
    constexpr std::size_t maximumCheckedFits = 16;
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
    , m_free(m_view.freeRoom())
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
        if (!startInCells(job))
            reclaim(job);
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
    WorkerRoom free = m_filter.permitted(m_queue[job], m_free);
    auto fit = absorbedFit(job, { .easy = free, .whole = free });
    if (!fit)
        return false;
    subtract(m_free, fit->tasks);
    start(job, *fit, true);
    return true;
}

bool CellPlanner::reclaim(std::size_t job)
{
    WorkerRoom whole = m_filter.permitted(m_queue[job], m_cells.room());
    WorkerRoom easy = m_free;
    for (std::size_t i = 0; i < easy.size(); ++i)
        easy[i] = std::min(whole[i], easy[i] + m_borrowed.leaving()[i]);
    auto fit = absorbedFit(job, { .easy = easy, .whole = whole });
    if (!fit)
        return false;
    for (int victim : m_borrowed.claim(fit->tasks, m_free))
        m_plan.preemptions.push_back(*m_view.jobs()[static_cast<std::size_t>(victim)].id);
    m_progress[job] = Progress::Reclaiming;
    return true;
}

std::optional<GangFit> CellPlanner::absorbedFit(std::size_t job, const GangRoom& room)
{
    const state::JobSpecification& specification = m_queue[job].specification;
    WorkerRoom easy;
    WorkerRoom whole;
    GangRoom own = ownRoom(specification.account, room, easy, whole);
    // The account's own cells come first among places in equally many racks, since the other cells keep their places.
    std::vector<GangFit> fits = gangFits(m_view, specification.shape, own);
    std::vector<GangFit> others = gangFits(m_view, specification.shape, room);
    fits.insert(fits.end(), std::make_move_iterator(others.begin()), std::make_move_iterator(others.end()));
    std::stable_sort(
        fits.begin(), fits.end(), [](const GangFit& left, const GangFit& right) { return left.racks < right.racks; });
    for (std::size_t i = 0; i < std::min(fits.size(), maximumCheckedFits); ++i) {
        if (m_cells.absorb(specification.account, fits[i].tasks))
            return std::move(fits[i]);
    }
    return std::nullopt;
}

GangRoom CellPlanner::ownRoom(
    const state::AccountId& account, const GangRoom& room, WorkerRoom& easy, WorkerRoom& whole) const
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
        if (blocked.empty() || bypassExhausted(job))
            reserve(job);
        blocked.push_back(job);
    }
}

bool CellPlanner::borrow(std::size_t job)
{
    const state::JobSpecification& specification = m_queue[job].specification;
    auto fit = bestGangFit(m_view, specification.shape, m_filter.permitted(m_queue[job], m_free));
    if (!fit && m_reserved.size() > 0) {
        WorkerRoom lent = m_reserved.lend(m_free, specification.declaredRunTime);
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
    WorkerRoom free = m_filter.permitted(m_queue[job], m_free);
    WorkerRoom capacity = m_filter.permitted(m_queue[job], m_view.capacity());
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
    for (std::size_t earlier = 0; earlier < job; ++earlier)
        m_bypassed[earlier] += m_progress[earlier] == Progress::Started ? 0 : 1;
}

} // namespace lentilsaddle::coordination
