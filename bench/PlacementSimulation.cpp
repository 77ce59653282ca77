#include "bench/PlacementSimulation.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lentilsaddle::bench {

namespace {

    using std::chrono::milliseconds;

    /// Accelerators of the largest guaranteed shape of the site, which needs whole workers in one rack.
    constexpr int largestGuaranteedShape = 32;

    milliseconds elapsed(state::MonotonicTime from, state::MonotonicTime to)
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
        auto updateNext = [&next](state::MonotonicTime time) { next = next ? std::min(*next, time) : time; };
        if (arrival != m_arrivals.end())
            updateNext(arrival->time);
        if (!m_completions.empty())
            updateNext(m_completions.begin()->first);
        if (!m_releases.empty())
            updateNext(m_releases.begin()->first);
        if (!next)
            break;
        advance(*next);
        while (!m_completions.empty() && m_completions.begin()->first <= m_now)
            complete(state::JobId(m_completions.begin()->second));
        while (!m_releases.empty() && m_releases.begin()->first <= m_now)
            release(state::JobId(m_releases.begin()->second));
        for (; arrival != m_arrivals.end() && arrival->time <= m_now; ++arrival) {
            m_jobs[arrival->specification.id] = { .arrival = *arrival, .remaining = arrival->runTime };
            m_queue.push_back({ .specification = arrival->specification });
        }
        applyPolicy();
    }
    m_result.largestFreeShape /= static_cast<double>(std::max<long>(1, m_measuredTime.count()));
    m_result.unusableShare /= static_cast<double>(std::max<long>(1, m_measuredTime.count()));
    return std::move(m_result);
}

void PlacementSimulation::advance(state::MonotonicTime to)
{
    if (to <= m_lastArrival)
        measureFragmentation(elapsed(m_now, to));
    m_now = to;
    for (coordination::QueuedJob& job : m_queue)
        job.waited = elapsed(m_jobs.at(job.specification.id).arrival.time, m_now);
}

void PlacementSimulation::applyPolicy()
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
    job.completesAt = m_now + job.remaining;
    m_completions.emplace(job.completesAt, start.job);
    auto queued = std::find_if(m_queue.begin(), m_queue.end(),
        [&start](const coordination::QueuedJob& waiting) { return waiting.specification.id == start.job; });
    for (auto earlier = m_queue.begin(); earlier != queued; ++earlier) {
        ++earlier->bypassed;
        int& bypasses = m_jobs.at(earlier->specification.id).bypassesByBorrowers;
        bypasses += start.withinGuarantee ? 0 : 1;
        m_result.largestBypass = std::max(m_result.largestBypass, bypasses);
    }
    m_queue.erase(queued);
    auto reclaimed = m_reclaimSince.find(start.job);
    if (reclaimed != m_reclaimSince.end()) {
        auto& reclaims = specification.urgent ? m_result.urgentReclaim : m_result.reclaim;
        reclaims.push_back(elapsed(reclaimed->second, m_now));
        m_reclaimSince.erase(reclaimed);
    }
    if (std::exchange(job.everStarted, true))
        return;
    milliseconds wait = elapsed(job.arrival.time, m_now);
    milliseconds& longest = m_result.longestWait[job.arrival.size];
    longest = std::max(longest, wait);
    if (specification.urgent)
        m_result.urgentWait.push_back(wait);
}

void PlacementSimulation::preempt(const state::JobId& id)
{
    Job& job = m_jobs.at(id);
    // The simulated checkpoint holds all progress until the preemption, so the job resumes with its remaining run time.
    job.remaining = elapsed(m_now, job.completesAt);
    eraseJob(m_completions, id);
    m_placement.markStopping(id);
    m_releases.emplace(m_now + preemptionTime, id);
    ++m_result.preemptions;
}

void PlacementSimulation::complete(const state::JobId& id)
{
    const Job& job = m_jobs.at(id);
    m_result.completion[job.arrival.size].push_back(elapsed(job.arrival.time, m_now));
    m_placement.release(id);
    eraseJob(m_completions, id);
}

void PlacementSimulation::release(const state::JobId& id)
{
    m_placement.release(id);
    eraseJob(m_releases, id);
    // A preempted job returns to its position in submission order; its count of bypasses restarts at 0.
    const Arrival& arrival = m_jobs.at(id).arrival;
    m_jobs.at(id).bypassesByBorrowers = 0;
    auto position = std::find_if(m_queue.begin(), m_queue.end(), [this, &arrival](const coordination::QueuedJob& job) {
        return m_jobs.at(job.specification.id).arrival.time > arrival.time;
    });
    m_queue.insert(position, { .specification = arrival.specification });
}

void PlacementSimulation::measureFragmentation(milliseconds duration)
{
    std::map<state::RackId, int> wholeWorkers;
    int free = 0;
    for (const auto& [id, slots] : m_placement.workers()) {
        auto freeOnWorker = static_cast<int>(
            std::count_if(slots.jobs.begin(), slots.jobs.end(), [](const state::JobId& job) { return job.empty(); }));
        free += freeOnWorker;
        if (freeOnWorker == slots.worker.accelerators)
            wholeWorkers[slots.worker.rack] += freeOnWorker;
    }
    int largest = 0;
    int usable = 0;
    for (const auto& [rack, accelerators] : wholeWorkers) {
        largest = std::max(largest, accelerators);
        usable += accelerators / largestGuaranteedShape * largestGuaranteedShape;
    }
    auto weight = static_cast<double>(duration.count());
    m_measuredTime += duration;
    m_result.largestFreeShape += weight * largest;
    m_result.unusableShare += free == 0 ? 0 : weight * (free - usable) / free;
}

} // namespace lentilsaddle::bench
