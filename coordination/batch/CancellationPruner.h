/// @file
/// Removal of cancellations whose job was never stored.
#pragma once

#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/JournalHooks.h"
#include "state/Identifier.h"
#include "state/Time.h"

#include <functional>
#include <map>
#include <vector>

namespace lentilsaddle::state::batch {
class BatchTable;
}

namespace lentilsaddle::coordination::batch {

/// Removes cancellations of unknown jobs from the journal once no submission can follow them any more, so that they do
/// not accumulate. Only the leader uses this; it counts the time from when it has first seen a cancellation.
class CancellationPruner {
public:
    struct Hooks {
        state::MonotonicClock clock;
        /// Stores records of the leader.
        std::function<void(std::vector<KeyedRecord> records)> append;
    };

    CancellationPruner(const state::batch::BatchTable& table, const BatchOptions& options, Hooks hooks);

    /// Removes what is due; called often.
    void run();

private:
    const state::batch::BatchTable& m_table;
    const BatchOptions& m_options;
    Hooks m_hooks;
    state::MonotonicTime m_lastRun {};
    std::map<state::JobId, state::MonotonicTime> m_firstSeen;
};

} // namespace lentilsaddle::coordination::batch
