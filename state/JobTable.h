/// @file
/// Replay of one data centre's job stream.
#pragma once

#include "state/JobState.h"
#include "state/Record.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::state {

/// Jobs of one data centre and the holder of the scheduler role, derived from the records in log order.
///
/// Every reader of the stream reaches the same state. Repeated records have no effect. Records of an attempt take
/// effect only if the current scheduler wrote them, so that a replaced scheduler that resumes cannot end an attempt
/// that its successor has recovered.
class JobTable {
public:
    struct Job {
        JobSpecification specification;
        JobState state = JobState::Queued;
        /// Number of claimed attempts; the next attempt has this number plus 1.
        int attempts = 0;
        /// Attempts that ended as failed.
        int failures = 0;
        /// Set while an attempt is claimed and has not ended.
        std::optional<Record::StartClaim> claim;
        bool cancelRequested = false;
        /// Outcome of the last ended attempt; empty before the first.
        std::string lastOutcome;
        /// Why the job or its last attempt ended.
        std::string reason;
        /// Workers that ended attempts reported as failed; the next attempt should avoid them.
        std::set<WorkerId> failedWorkers;
        /// Position in submission order among the jobs that have not ended.
        std::uint64_t order = 0;
    };

    struct Limits {
        /// Ended jobs kept for queries.
        std::size_t endedJobs = 10'000;
        /// Payload bytes of ended jobs kept for queries; keeps a snapshot small enough for one append.
        std::size_t endedPayloadBytes = std::size_t { 1 } << 20;
    };

    JobTable() = default;
    explicit JobTable(const Limits& limits);

    /// Applies one record other than a snapshot.
    /// @return whether it changed the state.
    bool apply(const Record& record);

    /// Replaces the state by a snapshot.
    void load(const Record::JobSnapshot& snapshot);

    /// @param nextOffset offset up to which the table covers the stream.
    Record::JobSnapshot snapshot(LogOffset nextOffset) const;

    const Job* find(const JobId& id) const;

    /// @return whether a claim for the job's next attempt would be valid.
    static bool startable(const Job& job);

    /// @return jobs that have not ended, in submission order.
    std::vector<const Job*> openJobs() const;

    std::uint64_t epoch() const { return m_epoch; }
    /// Empty if the role is vacant.
    const InstanceId& scheduler() const { return m_scheduler; }
    std::uint64_t schedulerIncarnation() const { return m_schedulerIncarnation; }
    bool isScheduler(const InstanceId& instance, std::uint64_t incarnation) const;

private:
    bool applyBody(const Record::JobSubmitted& body, const Origin& origin);
    bool applyBody(const Record::SchedulerClaim& body, const Origin& origin);
    bool applyBody(const Record::StartClaim& body, const Origin& origin);
    bool applyBody(const Record::AttemptEnded& body, const Origin& origin);
    bool applyBody(const Record::JobEnded& body, const Origin& origin);
    bool applyBody(const Record::JobCancelled& body, const Origin& origin);
    bool isFromScheduler(const Origin& origin) const;
    Job* findOpen(const JobId& id);
    Job& insertJob(JobSpecification specification);
    void endJob(Job& job, JobState state, const std::string& reason);
    void evictEndedJobs();

    Limits m_limits;
    std::uint64_t m_epoch = 0;
    InstanceId m_scheduler;
    std::uint64_t m_schedulerIncarnation = 0;
    std::map<JobId, Job> m_jobs;
    std::uint64_t m_nextOrder = 1;
    std::map<std::uint64_t, JobId> m_openJobs;
    std::deque<JobId> m_endedJobs;
    std::size_t m_endedPayloadBytes = 0;
};

} // namespace lentilsaddle::state
