#include "coordination/decisions/batch/ServiceAging.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace lentilsaddle::coordination::batch {

using state::batch::Resources;
using FloatSeconds = std::chrono::duration<double>;

namespace {

    // Old gangs of one priority.
    struct Candidate {
        std::optional<std::size_t> oldest;
        Resources needed;
    };

    bool exceeds(const Resources& needed, const Resources& capacity)
    {
        return needed.accelerators > capacity.accelerators || needed.milliCores > capacity.milliCores
            || needed.memoryMegabytes > capacity.memoryMegabytes;
    }

} // namespace

bool ServiceAging::isOld(const BatchUnit& unit, state::MonotonicTime now) const
{
    if (!unit.gang)
        return false;
    // A step that becomes ready when its job has no value any more still waits for a time of its own.
    FloatSeconds valuable = std::max<FloatSeconds>(unit.hardDeadline - unit.readySince, unit.estimate);
    return now - unit.readySince >= valuable * m_options.waitFactor;
}

std::set<std::size_t> ServiceAging::select(const std::vector<BatchUnit>& units, const std::vector<WorkerView>& workers,
    state::MonotonicTime now, const std::function<bool(const BatchUnit&)>& mayFit) const
{
    std::vector<std::size_t> old;
    for (std::size_t index = 0; index < units.size(); ++index) {
        auto pause = m_pausedUntil.find(units[index].priority);
        bool paused = pause != m_pausedUntil.end() && now < pause->second;
        if (!paused && isOld(units[index], now))
            old.push_back(index);
    }
    std::stable_sort(old.begin(), old.end(),
        [&](std::size_t a, std::size_t b) { return units[a].readySince < units[b].readySince; });
    Resources capacity;
    for (const WorkerView& view : workers)
        capacity += view.worker.capacity;
    std::map<int, Candidate> candidates;
    for (std::size_t index : old) {
        Candidate& candidate = candidates[units[index].priority];
        if (exceeds(candidate.needed, capacity) || !mayFit(units[index]))
            continue;
        candidate.oldest = candidate.oldest.value_or(index);
        for (std::size_t task = 0; task < units[index].indices.size(); ++task)
            candidate.needed += units[index].resources;
    }
    std::set<std::size_t> selected;
    for (const auto& [priority, candidate] : candidates) {
        if (candidate.oldest && !exceeds(candidate.needed, capacity))
            selected.insert(*candidate.oldest);
    }
    return selected;
}

void ServiceAging::recordStart(const BatchUnit& unit, state::MonotonicTime now)
{
    if (!isOld(unit, now))
        return;
    auto pause = FloatSeconds(unit.estimate) * m_options.pauseFactor;
    m_pausedUntil[unit.priority] = now + std::chrono::duration_cast<state::MonotonicTime::duration>(pause);
}

} // namespace lentilsaddle::coordination::batch
