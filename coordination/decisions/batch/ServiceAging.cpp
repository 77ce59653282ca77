#include "coordination/decisions/batch/ServiceAging.h"

#include <algorithm>
#include <string>

namespace lentilsaddle::coordination::batch {

using state::batch::Resources;
using FloatSeconds = std::chrono::duration<double>;

namespace {

    // What decides whether the workers can hold a unit. Units of one shape may differ in when they may leave their
    // preferred rack; one that is selected too early is passed over after its preference has ended.
    using Shape = std::tuple<state::ServiceId, Resources, std::size_t, bool, std::string, std::string, int>;

    Shape shapeOf(const BatchUnit& unit)
    {
        return { unit.service, unit.resources, unit.indices.size(), unit.sameRack, unit.preferredRack,
            unit.requiredLabel, unit.maximumPerWorker };
    }

    ServiceAging::StepKey stepOf(const BatchUnit& unit)
    {
        return { unit.job, unit.occurrence, unit.step };
    }

    Resources totalOf(const BatchUnit& unit)
    {
        auto count = static_cast<std::int64_t>(unit.indices.size());
        return {
            .milliCores = unit.resources.milliCores * count,
            .memoryMegabytes = unit.resources.memoryMegabytes * count,
            .accelerators = unit.resources.accelerators * count,
        };
    }

    state::MonotonicTime::duration multiple(std::chrono::milliseconds time, double factor)
    {
        return std::chrono::duration_cast<state::MonotonicTime::duration>(FloatSeconds(time) * factor);
    }

} // namespace

void ServiceAging::recordWaiting(const std::vector<BatchUnit>& units, state::MonotonicTime now)
{
    for (const BatchUnit& unit : units) {
        if (unit.gang)
            m_waits.try_emplace(
                stepOf(unit), Wait { .since = now, .serviceAndPriority = { unit.service, unit.priority } });
    }
}

bool ServiceAging::isOld(const BatchUnit& unit, const Wait& wait, state::MonotonicTime now) const
{
    // A step that becomes ready when its job has no value any more still waits for a time of its own.
    FloatSeconds valuable = std::max<FloatSeconds>(unit.hardDeadline - wait.since, unit.estimate);
    return now - wait.since >= valuable * m_options.waitFactor;
}

bool ServiceAging::isPaused(const Class& serviceAndPriority, state::MonotonicTime now) const
{
    auto pause = m_pausedUntil.find(serviceAndPriority);
    return pause != m_pausedUntil.end() && now < pause->second;
}

bool ServiceAging::isPassedOver(const BatchUnit& unit, state::MonotonicTime now) const
{
    const Wait& wait = m_waits.at(stepOf(unit));
    return now >= wait.selectedUntil && now < wait.passedOverUntil;
}

std::set<std::size_t> ServiceAging::select(const std::vector<BatchUnit>& units, const std::vector<WorkerView>& workers,
    state::MonotonicTime now, const std::function<bool(const BatchUnit&)>& mayFit) const
{
    std::map<Class, std::vector<std::size_t>> old;
    for (std::size_t index = 0; index < units.size(); ++index) {
        if (!units[index].gang)
            continue;
        auto wait = m_waits.find(stepOf(units[index]));
        if (wait != m_waits.end() && isOld(units[index], wait->second, now)
            && !isPaused(wait->second.serviceAndPriority, now))
            old[wait->second.serviceAndPriority].push_back(index);
    }
    if (old.empty())
        return {};
    std::map<state::ServiceId, Resources> capacities;
    for (const WorkerView& view : workers)
        capacities[view.worker.service] += view.worker.capacity;
    std::map<Shape, bool> fits;
    auto shapeMayFit = [&](const BatchUnit& unit) {
        auto [found, added] = fits.try_emplace(shapeOf(unit), false);
        if (added)
            found->second = mayFit(unit);
        return found->second;
    };
    std::set<std::size_t> selected;
    for (auto& [serviceAndPriority, gangs] : old) {
        if (auto gang = selectAmong(std::move(gangs), units, capacities[serviceAndPriority.first], now, shapeMayFit))
            selected.insert(*gang);
    }
    return selected;
}

std::optional<std::size_t> ServiceAging::selectAmong(std::vector<std::size_t> gangs,
    const std::vector<BatchUnit>& units, const Resources& capacity, state::MonotonicTime now,
    const std::function<bool(const BatchUnit&)>& mayFit) const
{
    Resources all;
    std::erase_if(gangs, [&](std::size_t index) { return !totalOf(units[index]).fitsInto(capacity); });
    for (std::size_t index : gangs)
        all += totalOf(units[index]);
    bool mayExceed = !all.fitsInto(capacity);
    std::stable_sort(gangs.begin(), gangs.end(), [&](std::size_t a, std::size_t b) {
        return m_waits.at(stepOf(units[a])).since < m_waits.at(stepOf(units[b])).since;
    });
    Resources needed;
    std::optional<std::size_t> selected;
    for (std::size_t index : gangs) {
        if (selected && !mayExceed)
            break;
        bool passedOver = isPassedOver(units[index], now);
        if ((passedOver && !mayExceed) || !mayFit(units[index]))
            continue;
        needed += totalOf(units[index]);
        if (!needed.fitsInto(capacity))
            return std::nullopt;
        if (!selected && !passedOver)
            selected = index;
    }
    return selected;
}

void ServiceAging::recordSelection(
    const std::vector<BatchUnit>& units, const std::set<std::size_t>& selected, state::MonotonicTime now)
{
    for (std::size_t index = 0; index < units.size(); ++index) {
        auto found = m_waits.find(stepOf(units[index]));
        if (!units[index].gang || found == m_waits.end())
            continue;
        Wait& wait = found->second;
        wait.selected = selected.contains(index);
        if (!wait.selected || now < wait.passedOverUntil)
            continue;
        std::chrono::milliseconds time = std::max(units[index].estimate, m_options.shortestPreference);
        wait.selectedUntil = now + time;
        wait.passedOverUntil = wait.selectedUntil + multiple(time, m_options.pauseFactor);
    }
}

void ServiceAging::recordStart(const StepKey& step, std::chrono::milliseconds runTime, state::MonotonicTime now)
{
    auto wait = m_waits.find(step);
    if (wait == m_waits.end())
        return;
    if (wait->second.selected) {
        state::MonotonicTime& end = m_pausedUntil[wait->second.serviceAndPriority];
        end = std::max(end, now + multiple(runTime, m_options.pauseFactor));
    }
    m_waits.erase(wait);
}

void ServiceAging::removeJobs(const std::function<bool(const state::JobId&)>& ended)
{
    std::erase_if(m_waits, [&](const auto& wait) { return ended(std::get<state::JobId>(wait.first)); });
}

} // namespace lentilsaddle::coordination::batch
