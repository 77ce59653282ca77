#include "coordination/decisions/AcceleratorPicker.h"

#include <algorithm>
#include <bit>

namespace lentilsaddle::coordination {

AcceleratorPicker::AcceleratorPicker(const ClusterView& view)
    : m_view(view)
{
}

std::vector<state::TaskPlacement> AcceleratorPicker::pick(const std::vector<GangTask>& tasks)
{
    std::vector<state::TaskPlacement> placements;
    placements.reserve(tasks.size());
    for (const GangTask& task : tasks) {
        const auto& slots = *m_view.workers()[static_cast<std::size_t>(task.worker)].slots;
        placements.push_back({ .worker = slots.worker.id, .accelerators = pickOnWorker(task) });
    }
    return placements;
}

std::vector<int> AcceleratorPicker::pickOnWorker(const GangTask& task)
{
    auto [entry, added] = m_free.try_emplace(task.worker);
    std::vector<bool>& free = entry->second;
    if (added) {
        for (const state::JobId& job : m_view.workers()[static_cast<std::size_t>(task.worker)].slots->jobs)
            free.push_back(job.empty());
    }
    // An aligned block keeps the remaining accelerators in blocks of powers of two.
    auto needed = static_cast<std::ptrdiff_t>(task.accelerators);
    auto block = static_cast<std::ptrdiff_t>(std::bit_ceil(static_cast<unsigned>(task.accelerators)));
    auto start = free.begin();
    for (auto at = free.begin(); free.end() - at >= needed; at += std::min(block, free.end() - at)) {
        if (std::all_of(at, at + needed, [](bool isFree) { return isFree; })) {
            start = at;
            break;
        }
    }
    std::vector<int> picked;
    for (auto at = start; at != free.end() && static_cast<int>(picked.size()) < task.accelerators; ++at) {
        if (!*at)
            continue;
        *at = false;
        picked.push_back(static_cast<int>(at - free.begin()));
    }
    return picked;
}

} // namespace lentilsaddle::coordination
