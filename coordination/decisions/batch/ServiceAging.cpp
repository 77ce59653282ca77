#include "coordination/decisions/batch/ServiceAging.h"

#include <algorithm>
#include <chrono>

namespace lentilsaddle::coordination::batch {

using FloatSeconds = std::chrono::duration<double>;

bool ServiceAging::isOld(const BatchUnit& unit, state::MonotonicTime now) const
{
    if (!unit.gang)
        return false;
    // A step that becomes ready when its job has no value any more still waits for a time of its own.
    FloatSeconds valuable = std::max<FloatSeconds>(unit.hardDeadline - unit.readySince, unit.estimate);
    return now - unit.readySince >= valuable * m_options.waitFactor;
}

std::set<std::size_t> ServiceAging::select(const std::vector<BatchUnit>& units, state::MonotonicTime now,
    const std::function<bool(const BatchUnit&)>& mayFit) const
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
    std::set<std::size_t> selected;
    std::set<int> priorities;
    for (std::size_t index : old) {
        if (priorities.contains(units[index].priority) || !mayFit(units[index]))
            continue;
        priorities.insert(units[index].priority);
        selected.insert(index);
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
