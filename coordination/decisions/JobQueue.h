/// @file
/// Queue of waiting jobs, as input of placement decisions.
#pragma once

#include "coordination/decisions/QueuedJob.h"
#include "state/JobTable.h"
#include "state/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Adds to the replayed jobs the state that only this process has: how long a job has waited, how often it was
/// bypassed, and when its next attempt may start. A failover loses this state, which at most delays a decision.
class JobQueue {
public:
    /// Starts to measure how long a job has waited, unless it is tracked already.
    void track(const state::JobId& job, state::MonotonicTime now);

    /// Excludes a job from the queue until a time.
    void delayUntil(const state::JobId& job, state::MonotonicTime until);

    /// Counts one more bypass for each job that was submitted earlier than the started one and still waits.
    void recordStart(const state::JobTable::Job& job, const std::vector<const state::JobTable::Job*>& openJobs);

    /// Removes a job that has ended.
    void forget(const state::JobId& job);

    /// @param openJobs jobs in submission order.
    /// @param eligible whether a startable job may start now.
    std::vector<QueuedJob> build(const std::vector<const state::JobTable::Job*>& openJobs,
        const std::function<bool(const state::JobTable::Job&)>& eligible, state::MonotonicTime now);

    /// @return when the delay of the next excluded job ends, or nothing if no job is excluded.
    std::optional<state::MonotonicTime> nextEligibleTime(state::MonotonicTime now) const;

private:
    struct Entry {
        state::MonotonicTime firstSeen;
        state::MonotonicTime notBefore;
        int bypassed = 0;
    };

    std::map<state::JobId, Entry> m_entries;
};

} // namespace lentilsaddle::coordination
