#include "coordination/batch/CancellationPruner.h"

#include "coordination/batch/JournalKeys.h"
#include "state/batch/BatchTable.h"
#include "transport/Logger.h"

#include <string>
#include <utility>

namespace lentilsaddle::coordination::batch {

CancellationPruner::CancellationPruner(const state::batch::BatchTable& table, const BatchOptions& options, Hooks hooks)
    : m_table(table)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

void CancellationPruner::run()
{
    state::MonotonicTime now = m_hooks.clock();
    if (now - m_lastRun < m_options.pruneInterval)
        return;
    m_lastRun = now;
    std::erase_if(
        m_firstSeen, [this](const auto& seen) { return !m_table.cancelledBeforeKnown().contains(seen.first); });
    std::vector<KeyedRecord> removals;
    for (const state::JobId& job : m_table.cancelledBeforeKnown()) {
        state::MonotonicTime since = m_firstSeen.try_emplace(job, now).first->second;
        if (now - since >= m_options.unknownCancellationRetention)
            removals.push_back({ .key = makeKey(cancellationKeyPrefix, job.value()) });
    }
    if (removals.empty())
        return;
    transport::writeLog(transport::LogLevel::Info, "store", "removing cancellations without a job",
        { { "count", std::to_string(removals.size()) }, { "first", removals.front().key } });
    // One call for each, so that an append stays below the size that the store accepts.
    for (KeyedRecord& removal : removals)
        m_hooks.append({ std::move(removal) });
}

} // namespace lentilsaddle::coordination::batch
