/// @file
/// Runs that hold capacity, for one planning round.
#pragma once

#include "coordination/batch/Allocation.h"
#include "coordination/batch/WorkerSession.h"
#include "state/Identifier.h"
#include "state/batch/BatchJobEntry.h"
#include "state/batch/BatchTable.h"

#include <absl/container/inlined_vector.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Lists the allocations of all sessions with their job entries, and groups the runs that are stopped together. Valid
/// until a session removes an allocation.
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

    /// A gang, or a single task.
    struct Group {
        bool gang = false;
        /// Indices in runs(). Most groups are single tasks.
        absl::InlinedVector<std::size_t, 1> runs;
    };

    RunOverview(const Sessions& sessions, const state::batch::BatchTable& table);

    /// @return all runs, in the order of the sessions; those of one session are adjacent.
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
