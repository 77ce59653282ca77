#include "coordination/jobs/WorkerFleet.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using protocol::WorkerResponse;
using state::MonotonicTime;
using state::WorkerId;

WorkerFleet::WorkerFleet(protocol::WorkerClient& client, protocol::WorkerDirectory& directory,
    state::PlacementState& placement, Options options, Hooks hooks)
    : m_client(client)
    , m_directory(directory)
    , m_placement(placement)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_quarantine(m_options.quarantine)
{
}

const state::Worker* WorkerFleet::find(const WorkerId& worker) const
{
    auto found = m_placement.workers().find(worker);
    return found == m_placement.workers().end() ? nullptr : &found->second.worker;
}

void WorkerFleet::readWorkerList(MonotonicTime now)
{
    m_listReadInFlight = true;
    m_nextListRead = now + m_options.listInterval;
    m_directory.read(m_options.dataCentre, [this](std::optional<std::vector<state::Worker>> workers) {
        m_listReadInFlight = false;
        if (workers)
            applyWorkerList(*workers);
        else if (!m_listKnown)
            m_nextListRead = m_hooks.clock() + m_options.fenceRetryInterval;
        m_hooks.onListRead();
        m_hooks.onResponse();
    });
}

void WorkerFleet::applyWorkerList(const std::vector<state::Worker>& workers)
{
    // A worker that runs a gang is kept even if the list, which lags behind, omits it.
    std::vector<state::Worker> kept = workers;
    for (const auto& [id, slots] : m_placement.workers()) {
        bool allocated
            = std::any_of(slots.jobs.begin(), slots.jobs.end(), [](const state::JobId& job) { return !job.empty(); });
        bool listed = std::any_of(
            workers.begin(), workers.end(), [&id = id](const state::Worker& worker) { return worker.id == id; });
        if (allocated && !listed)
            kept.push_back(slots.worker);
    }
    m_placement.setWorkers(kept);
    m_listKnown = true;
    std::erase_if(m_fences, [this](const auto& entry) { return !find(entry.first); });
    if (m_epoch != 0) {
        for (const state::Worker& worker : kept)
            fence(worker.id);
        checkFenceRound();
    }
    updateAvailability(m_hooks.clock());
}

void WorkerFleet::beginEpoch(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_fenceRoundDone = false;
    m_fences.clear();
    // Workers may have joined since the list was read.
    m_nextListRead = m_hooks.clock();
    for (const auto& [id, slots] : m_placement.workers())
        fence(id);
    updateAvailability(m_hooks.clock());
    tick(m_hooks.clock());
}

void WorkerFleet::endEpoch()
{
    m_epoch = 0;
    m_fences.clear();
    updateAvailability(m_hooks.clock());
}

void WorkerFleet::fence(const WorkerId& worker)
{
    Fence& fence = m_fences[worker];
    if (fence.acknowledged || fence.inFlight)
        return;
    fence.inFlight = true;
    m_client.fence(*find(worker), m_epoch, [this, worker, epoch = m_epoch](const WorkerResponse& response) {
        if (epoch == m_epoch)
            onFenceResponse(worker, response);
        m_hooks.onResponse();
    });
}

void WorkerFleet::onFenceResponse(const WorkerId& worker, const WorkerResponse& response)
{
    auto found = m_fences.find(worker);
    if (found == m_fences.end())
        return;
    found->second.inFlight = false;
    if (response.status == WorkerResponse::Status::Fenced) {
        m_hooks.onHigherEpoch(response.epoch);
        return;
    }
    if (response.status == WorkerResponse::Status::Ok) {
        found->second.acknowledged = true;
        updateAvailability(m_hooks.clock());
        m_hooks.onFenced(worker, response.tasks);
    } else {
        found->second.retryAt = m_hooks.clock() + m_options.fenceRetryInterval;
    }
    checkFenceRound();
}

void WorkerFleet::checkFenceRound()
{
    bool pending
        = std::any_of(m_fences.begin(), m_fences.end(), [](const auto& entry) { return entry.second.inFlight; });
    if (m_fenceRoundDone || pending || !m_listKnown || m_listReadInFlight)
        return;
    m_fenceRoundDone = true;
    m_hooks.onFenceRoundDone();
}

std::set<WorkerId> WorkerFleet::unresponsive() const
{
    std::set<WorkerId> workers;
    for (const auto& [id, fence] : m_fences) {
        if (!fence.acknowledged)
            workers.insert(id);
    }
    return workers;
}

void WorkerFleet::updateAvailability(MonotonicTime now)
{
    for (const auto& [id, slots] : m_placement.workers()) {
        auto fence = m_fences.find(id);
        bool fenced = fence != m_fences.end() && fence->second.acknowledged;
        m_placement.setAvailable(id, fenced && m_quarantine.state(id, now) == WorkerQuarantine::State::Available);
    }
}

std::vector<WorkerId> WorkerFleet::probeCandidates(MonotonicTime now) const
{
    std::vector<WorkerId> workers;
    for (const auto& [id, fence] : m_fences) {
        if (fence.acknowledged && m_quarantine.state(id, now) == WorkerQuarantine::State::Probing)
            workers.push_back(id);
    }
    return workers;
}

void WorkerFleet::tick(MonotonicTime now)
{
    if (!m_listReadInFlight && now >= m_nextListRead)
        readWorkerList(now);
    if (m_epoch == 0)
        return;
    for (const auto& [id, fenceState] : m_fences) {
        if (!fenceState.acknowledged && !fenceState.inFlight && now >= fenceState.retryAt)
            fence(id);
    }
}

std::optional<MonotonicTime> WorkerFleet::nextTick(MonotonicTime now) const
{
    std::optional<MonotonicTime> next;
    auto consider = [&next](MonotonicTime time) { next = next ? std::min(*next, time) : time; };
    if (!m_listReadInFlight)
        consider(m_nextListRead);
    for (const auto& [id, fence] : m_fences) {
        if (!fence.acknowledged && !fence.inFlight)
            consider(fence.retryAt);
    }
    if (auto change = m_quarantine.nextChange(now))
        consider(*change);
    return next;
}

} // namespace lentilsaddle::coordination
