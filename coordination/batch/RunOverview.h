/// @file
/// Runs that take room, as one planning round sees them.
#pragma once

#include "coordination/batch/Allocation.h"
#include "coordination/batch/WorkerSession.h"
#include "state/Identifier.h"
#include "state/batch/BatchJobEntry.h"
#include "state/batch/BatchTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Lists the occupants of all sessions with the entries of their jobs, and groups them to what stops together. Valid
/// until a session drops an occupant.
class RunOverview {
public:
    using Sessions = std::map<state::WorkerId, std::unique_ptr<WorkerSession>>;

    struct Run {
        WorkerSession* session = nullptr;
        const WorkerSession::AllocationKey* key = nullptr;
        const Allocation* allocation = nullptr;
        /// Null if the job or the task is unknown.
        const state::batch::BatchJobEntry* entry = nullptr;
        std::size_t group = 0;

        const state::batch::BatchStep& step() const
        {
            return entry->job().steps[static_cast<std::size_t>(key->first.step)];
        }
    };

    /// A gang, or one task.
    struct Group {
        bool gang = false;
        /// Positions among the runs.
        std::vector<std::size_t> runs;
    };

    RunOverview(const Sessions& sessions, const state::batch::BatchTable& table);

    /// @return all runs; those of one session stand together, in the order of the sessions.
    const std::vector<Run>& runs() const { return m_runs; }
    const std::vector<Group>& groups() const { return m_groups; }

private:
    struct GangKey {
        const state::batch::BatchJobEntry* entry = nullptr;
        int occurrence = 0;
        int step = 0;
        std::int64_t run = 0;

        bool operator==(const GangKey&) const = default;
    };

    struct GangKeyHash {
        std::size_t operator()(const GangKey& key) const;
    };

    std::size_t groupOf(const Run& run);

    std::vector<Run> m_runs;
    std::vector<Group> m_groups;
    std::unordered_map<GangKey, std::size_t, GangKeyHash> m_gangs;
};

} // namespace lentilsaddle::coordination::batch
