#include "coordination/decisions/RunnerSelector.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

RunnerSelector::RunnerSelector(state::DataCentreId localDataCentre, Hooks hooks)
    : m_localDataCentre(std::move(localDataCentre))
    , m_hooks(std::move(hooks))
{
}

void RunnerSelector::setRunners(const std::vector<state::InstanceInfo>& runners, int liveEntryInstances)
{
    m_liveEntryInstances = std::max(1, liveEntryInstances);
    for (auto& [id, runner] : m_runners)
        runner.live = false;
    for (const state::InstanceInfo& info : runners) {
        Runner& runner = m_runners[info.name];
        runner.address = info.address;
        runner.dataCentre = info.dataCentre;
        runner.live = info.state == state::InstanceInfo::State::Live;
    }
    std::erase_if(m_runners, [](const auto& item) { return !item.second.live && item.second.outstanding == 0; });
}

std::optional<state::InstanceId> RunnerSelector::select(const Filter& filter, const state::InstanceId& avoided) const
{
    for (bool local : { true, false }) {
        std::vector<state::InstanceId> found = candidates(filter, local, avoided);
        if (!found.empty())
            return lessLoaded(found);
    }
    if (avoided.empty())
        return std::nullopt;
    return select(filter, state::InstanceId());
}

bool RunnerSelector::hasRoom(const Runner& runner) const
{
    int connections = std::max(1, m_service.connectionsPerServer / m_liveEntryInstances);
    if (!runner.live || runner.outstanding >= connections)
        return false;
    // Rounded up, so that the instances together can use all slots; the runner refuses what exceeds them.
    int slots = (m_service.slotsPerServer + m_liveEntryInstances - 1) / m_liveEntryInstances;
    return runner.outstanding < slots || runner.outstanding + runner.othersOccupancy < m_service.slotsPerServer;
}

std::vector<state::InstanceId> RunnerSelector::candidates(
    const Filter& filter, bool local, const state::InstanceId& avoided) const
{
    std::vector<state::InstanceId> found;
    for (const auto& [id, runner] : m_runners) {
        bool isLocal = runner.dataCentre == m_localDataCentre;
        if (isLocal == local && id != avoided && hasRoom(runner) && filter(id))
            found.push_back(id);
    }
    return found;
}

state::InstanceId RunnerSelector::lessLoaded(const std::vector<state::InstanceId>& candidates) const
{
    if (candidates.size() == 1)
        return candidates.front();
    std::size_t first = m_hooks.random() % candidates.size();
    // Drawn from the others, so that the two differ.
    std::size_t second = (first + 1 + m_hooks.random() % (candidates.size() - 1)) % candidates.size();
    const Runner& one = m_runners.at(candidates[first]);
    const Runner& other = m_runners.at(candidates[second]);
    bool otherIsLess = other.outstanding + other.othersOccupancy < one.outstanding + one.othersOccupancy;
    return candidates[otherIsLess ? second : first];
}

void RunnerSelector::recordHandOver(const state::InstanceId& runner)
{
    auto found = m_runners.find(runner);
    if (found != m_runners.end())
        ++found->second.outstanding;
}

void RunnerSelector::recordEnd(const state::InstanceId& runner, std::optional<int> occupancy)
{
    auto found = m_runners.find(runner);
    if (found == m_runners.end())
        return;
    Runner& entry = found->second;
    if (entry.outstanding > 0)
        --entry.outstanding;
    // The reported occupancy includes this instance's own requests, which are counted here more exactly.
    if (occupancy)
        entry.othersOccupancy = std::max(0, *occupancy - entry.outstanding);
    if (!entry.live && entry.outstanding == 0)
        m_runners.erase(found);
}

bool RunnerSelector::anyLive() const
{
    return std::any_of(m_runners.begin(), m_runners.end(), [](const auto& item) { return item.second.live; });
}

int RunnerSelector::outstanding() const
{
    int sum = 0;
    for (const auto& [id, runner] : m_runners)
        sum += runner.outstanding;
    return sum;
}

} // namespace lentilsaddle::coordination
