/// @file
/// Waiting jobs in the order in which the placement sees them.
#pragma once

#include "coordination/decisions/QueuedJob.h"
#include "state/JobTable.h"
#include "state/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Adds to the replayed jobs what only this process knows: how long a job has waited, how often it was passed, and when
/// its next attempt may follow. It is lost at a takeover, which at most delays a decision.
class JobQueue {
public:
    /// Notes when a job was first seen.
    void track(const state::JobId& job, state::MonotonicTime now);

    /// Holds a job back until a time.
    void delayUntil(const state::JobId& job, state::MonotonicTime until);

    /// Counts the jobs that were submitted earlier and still wait as bypassed.
    void recordStart(const state::JobTable::Job& job, const std::vector<const state::JobTable::Job*>& openJobs);

    /// Forgets a job that has ended.
    void forget(const state::JobId& job);

    /// @param openJobs jobs in submission order.
    /// @param eligible whether a startable job may start now.
    std::vector<QueuedJob> build(const std::vector<const state::JobTable::Job*>& openJobs,
        const std::function<bool(const state::JobTable::Job&)>& eligible, state::MonotonicTime now);

    /// @return when the next job stops being held back.
    std::optional<state::MonotonicTime> nextEligibleTime(state::MonotonicTime now) const;

private:
    struct Entry {
        state::MonotonicTime since;
        state::MonotonicTime notBefore;
        int bypassed = 0;
    };

    std::map<state::JobId, Entry> m_entries;
};

} // namespace lentilsaddle::coordination
