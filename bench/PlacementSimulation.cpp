#include "bench/PlacementSimulation.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lentilsaddle::bench {

namespace {

    using std::chrono::milliseconds;

    /// Largest guaranteed shape of the site: whole workers in one rack.
    constexpr int largestGuaranteedShape = 32;

    milliseconds between(state::MonotonicTime from, state::MonotonicTime to)
    {
        return std::chrono::duration_cast<milliseconds>(to - from);
    }

    void eraseJob(std::multimap<state::MonotonicTime, state::JobId>& events, const state::JobId& id)
    {
        std::erase_if(events, [&id](const auto& event) { return event.second == id; });
    }

} // namespace

PlacementSimulation::PlacementSimulation(coordination::PlacementPolicy policy, std::vector<Arrival> arrivals)
    : m_policy(std::move(policy))
    , m_arrivals(std::move(arrivals))
{
    m_placement.setWorkers(siteWorkers());
    m_placement.setGuarantees(siteConfiguration(), state::DataCentreId());
    if (!m_arrivals.empty())
        m_lastArrival = m_arrivals.back().time;
}

SimulationResult PlacementSimulation::run()
{
    auto arrival = m_arrivals.begin();
    for (;;) {
        std::optional<state::MonotonicTime> next;
        auto consider = [&next](state::MonotonicTime time) { next = next ? std::min(*next, time) : time; };
        if (arrival != m_arrivals.end())
            consider(arrival->time);
        if (!m_ends.empty())
            consider(m_ends.begin()->first);
        if (!m_releases.empty())
            consider(m_releases.begin()->first);
        if (!next)
            break;
        advance(*next);
        while (!m_ends.empty() && m_ends.begin()->first <= m_now)
            finish(state::JobId(m_ends.begin()->second));
        while (!m_releases.empty() && m_releases.begin()->first <= m_now)
            release(state::JobId(m_releases.begin()->second));
        for (; arrival != m_arrivals.end() && arrival->time <= m_now; ++arrival) {
            m_jobs[arrival->specification.id] = { .arrival = *arrival, .remaining = arrival->runTime };
            m_queue.push_back({ .specification = arrival->specification });
        }
        decide();
    }
    m_result.largestFreeShape /= static_cast<double>(std::max<long>(1, m_measured.count()));
    m_result.unusableShare /= static_cast<double>(std::max<long>(1, m_measured.count()));
    return std::move(m_result);
}

void PlacementSimulation::advance(state::MonotonicTime to)
{
    if (to <= m_lastArrival)
        measureFragmentation(between(m_now, to));
    m_now = to;
    for (coordination::QueuedJob& job : m_queue)
        job.waited = between(m_jobs.at(job.specification.id).arrival.time, m_now);
}

void PlacementSimulation::decide()
{
    coordination::PlacementPlan plan = m_policy(m_placement, m_queue, m_now);
    for (const auto& started : plan.starts)
        start(started);
    for (const state::JobId& id : plan.preemptions)
        preempt(id);
    for (const state::JobId& id : plan.reclaiming)
        m_reclaimSince.try_emplace(id, m_now);
}

void PlacementSimulation::start(const coordination::PlacementPlan::Start& start)
{
    Job& job = m_jobs.at(start.job);
    const state::JobSpecification& specification = job.arrival.specification;
    m_placement.allocate(start.job, specification.account, start.placements,
        { .withinGuarantee = start.withinGuarantee, .expectedEnd = m_now + specification.declaredRunTime });
    job.started = m_now;
    job.ends = m_now + job.remaining;
    m_ends.emplace(job.ends, start.job);
    auto queued = std::find_if(m_queue.begin(), m_queue.end(),
        [&start](const coordination::QueuedJob& waiting) { return waiting.specification.id == start.job; });
    for (auto earlier = m_queue.begin(); earlier != queued; ++earlier) {
        ++earlier->bypassed;
        int& passed = m_jobs.at(earlier->specification.id).passedByBorrowers;
        passed += start.withinGuarantee ? 0 : 1;
        m_result.largestBypass = std::max(m_result.largestBypass, passed);
    }
    m_queue.erase(queued);
    auto reclaimed = m_reclaimSince.find(start.job);
    if (reclaimed != m_reclaimSince.end()) {
        auto& reclaims = specification.urgent ? m_result.urgentReclaim : m_result.reclaim;
        reclaims.push_back(between(reclaimed->second, m_now));
        m_reclaimSince.erase(reclaimed);
    }
    if (std::exchange(job.everStarted, true))
        return;
    milliseconds wait = between(job.arrival.time, m_now);
    milliseconds& longest = m_result.longestWait[job.arrival.size];
    longest = std::max(longest, wait);
    if (specification.urgent)
        m_result.urgentWait.push_back(wait);
}

void PlacementSimulation::preempt(const state::JobId& id)
{
    Job& job = m_jobs.at(id);
    // The checkpoint counts at the moment of the preemption, so the job resumes with the rest of its run time.
    job.remaining = between(m_now, job.ends);
    eraseJob(m_ends, id);
    m_placement.markStopping(id);
    m_releases.emplace(m_now + preemptionTime, id);
    ++m_result.preemptions;
}

void PlacementSimulation::finish(const state::JobId& id)
{
    const Job& job = m_jobs.at(id);
    m_result.completion[job.arrival.size].push_back(between(job.arrival.time, m_now));
    m_placement.release(id);
    eraseJob(m_ends, id);
}

void PlacementSimulation::release(const state::JobId& id)
{
    m_placement.release(id);
    eraseJob(m_releases, id);
    // A preempted job keeps its place in submission order; its passes are counted anew.
    const Arrival& arrival = m_jobs.at(id).arrival;
    m_jobs.at(id).passedByBorrowers = 0;
    auto place = std::find_if(m_queue.begin(), m_queue.end(), [this, &arrival](const coordination::QueuedJob& job) {
        return m_jobs.at(job.specification.id).arrival.time > arrival.time;
    });
    m_queue.insert(place, { .specification = arrival.specification });
}

void PlacementSimulation::measureFragmentation(milliseconds length)
{
    std::map<state::RackId, int> wholeWorkers;
    int free = 0;
    for (const auto& [id, slots] : m_placement.workers()) {
        auto unoccupied = static_cast<int>(
            std::count_if(slots.jobs.begin(), slots.jobs.end(), [](const state::JobId& job) { return job.empty(); }));
        free += unoccupied;
        if (unoccupied == slots.worker.accelerators)
            wholeWorkers[slots.worker.rack] += unoccupied;
    }
    int largest = 0;
    int usable = 0;
    for (const auto& [rack, room] : wholeWorkers) {
        largest = std::max(largest, room);
        usable += room / largestGuaranteedShape * largestGuaranteedShape;
    }
    auto weight = static_cast<double>(length.count());
    m_measured += length;
    m_result.largestFreeShape += weight * largest;
    m_result.unusableShare += free == 0 ? 0 : weight * (free - usable) / free;
}

} // namespace lentilsaddle::bench
