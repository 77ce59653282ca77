/// @file
/// All batch jobs, replicated from the journal.
#pragma once

#include "state/batch/BatchJobEntry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilsaddle::state::batch {

/// Job table built by replaying the journal. Records of different keys may arrive in any order, and a record may arrive
/// more than once.
class BatchTable {
public:
    /// Adds a job; has no effect if the job is already known.
    void applyJob(const BatchJob& job);

    /// Marks a job as cancelled, also before the job itself is known.
    void applyCancellation(const JobId& job);

    /// Forgets the cancellation of a job that is not known; has no effect on a known job.
    void removeEarlyCancellation(const JobId& job) { m_earlyCancellations.erase(job); }

    /// @return cancelled jobs that are not known.
    const std::set<JobId>& cancelledBeforeKnown() const { return m_earlyCancellations; }

    /// Sets a task's state if it is newer than the known one. A task that its job does not contain is ignored.
    /// @param offset offset of the record in the journal.
    void applyTask(const BatchTaskId& task, const BatchTaskState& taskState, std::uint64_t offset);

    /// Records that a worker has begun a task of the job, also before the job itself is known.
    void applyStart(const JobId& job);

    /// @return null if the job is unknown. The pointer stays valid for the lifetime of the table.
    const BatchJobEntry* find(const JobId& job) const;

    /// @return jobs that are not finished, by identifier.
    const std::set<JobId>& activeJobs() const { return m_active; }

    /// @return memory of the unfinished jobs, by jobMemoryBytes().
    std::size_t activeBytes() const { return m_activeBytes; }

    /// @return the same of the jobs of an account.
    std::size_t activeBytes(const AccountId& account) const;

    /// @return number of unfinished jobs of a queue of which no worker is known to have begun a task.
    std::size_t pendingCount(const std::string& queue) const;

private:
    struct TaskRecord {
        BatchTaskId task;
        BatchTaskState state;
        std::uint64_t offset = 0;
    };

    void updateActive(const BatchJobEntry& entry);

    using Jobs = std::unordered_map<JobId, BatchJobEntry>;

    /// An unordered_map keeps the addresses of its entries.
    Jobs m_jobs;
    std::set<JobId> m_active;
    std::size_t m_activeBytes = 0;
    /// By account; without accounts that have no unfinished job.
    std::map<AccountId, std::size_t> m_accountBytes;
    /// Cancellations, starts and task states of jobs that are not known yet.
    std::set<JobId> m_earlyCancellations;
    std::set<JobId> m_earlyStarts;
    std::map<JobId, std::vector<TaskRecord>> m_earlyTasks;
};

} // namespace lentilsaddle::state::batch
