#include "coordination/batch/RunOverview.h"

#include <functional>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJobEntry;

std::size_t RunOverview::GangKeyHash::operator()(const GangKey& key) const
{
    // Prime multipliers avoid collisions of neighbouring occurrences, steps and runs.
    auto hash = static_cast<std::size_t>(key.occurrence) * 31 + static_cast<std::size_t>(key.step) * 131
        + static_cast<std::size_t>(key.run) * 1'009;
    return std::hash<const void*> {}(key.entry) ^ hash;
}

namespace {

    const BatchJobEntry* findEntry(const state::batch::BatchTable& table, const state::batch::BatchTaskId& task)
    {
        const BatchJobEntry* entry = table.find(task.job);
        return entry && entry->contains(task) ? entry : nullptr;
    }

} // namespace

RunOverview::RunOverview(const Sessions& sessions, const state::batch::BatchTable& table)
{
    for (const auto& [id, session] : sessions) {
        for (const auto& [key, allocation] : session->allocations()) {
            const BatchJobEntry* entry = allocation.entry ? allocation.entry : findEntry(table, key.first);
            Run run { .session = session.get(), .key = &key, .allocation = &allocation, .entry = entry };
            run.group = groupOf(run);
            m_groups[run.group].runs.push_back(m_runs.size());
            m_runs.push_back(run);
        }
    }
}

std::size_t RunOverview::groupOf(const Run& run)
{
    bool gang = run.entry && run.step().gang;
    std::size_t next = m_groups.size();
    if (gang) {
        GangKey key {
            .entry = run.entry,
            .occurrence = run.key->first.occurrence,
            .step = run.key->first.step,
            .run = run.key->second,
        };
        auto [known, added] = m_gangs.try_emplace(key, next);
        if (!added)
            return known->second;
    }
    m_groups.push_back({ .gang = gang });
    return next;
}

} // namespace lentilsaddle::coordination::batch
