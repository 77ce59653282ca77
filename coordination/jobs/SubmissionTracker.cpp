#include "coordination/jobs/SubmissionTracker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lentilsaddle::coordination {

using Status = SchedulerMessage::JobResponse::Status;

namespace {

    constexpr const char* unresolvedReason = "an earlier attempt may be in the log";
    // Bounds the memory for records that are never read.
    constexpr std::chrono::hours unresolvedRetention { 1 };

    SchedulerMessage::JobResponse makeResponse(Status status, const state::JobId& job, const std::string& reason = {})
    {
        return { .status = status, .id = job, .field = {}, .reason = reason };
    }

    SchedulerMessage::JobResponse makeConflict(const state::JobId& job)
    {
        return { .status = Status::Conflict,
            .id = job,
            .field = "job_id",
            .reason = "the identifier was submitted with another body" };
    }

} // namespace

bool SubmissionTracker::addWaiter(PendingRecord& record, Waiter waiter)
{
    bool first = record.waiters.empty();
    record.latestDeadline = std::max(record.latestDeadline, waiter.deadline);
    record.waiters.push_back(std::move(waiter));
    record.appendsInFlight += first ? 1 : 0;
    return first;
}

bool SubmissionTracker::submit(const state::JobSpecification& specification, Reply reply, state::MonotonicTime deadline)
{
    PendingRecord& record = m_submissions[specification.id];
    if (!record.waiters.empty() && record.waiters.front().specification != specification) {
        reply(makeConflict(specification.id));
        return false;
    }
    return addWaiter(record, { .specification = specification, .reply = std::move(reply), .deadline = deadline });
}

bool SubmissionTracker::cancel(const state::JobId& job, Reply reply, state::MonotonicTime deadline)
{
    return addWaiter(m_cancellations[job], { .specification = {}, .reply = std::move(reply), .deadline = deadline });
}

void SubmissionTracker::submissionRead(const state::JobSpecification& accepted)
{
    auto record = m_submissions.extract(accepted.id);
    if (!record)
        return;
    for (const Waiter& waiter : record.mapped().waiters) {
        bool same = waiter.specification == accepted;
        waiter.reply(same ? makeResponse(Status::Accepted, accepted.id) : makeConflict(accepted.id));
    }
}

void SubmissionTracker::cancellationRead(const state::JobId& job)
{
    auto record = m_cancellations.extract(job);
    if (!record)
        return;
    for (const Waiter& waiter : record.mapped().waiters)
        waiter.reply(makeResponse(Status::Accepted, job));
}

void SubmissionTracker::submissionAppended(const state::JobId& job, LogMessage::AppendStatus status)
{
    appended(m_submissions, job, status);
}

void SubmissionTracker::cancellationAppended(const state::JobId& job, LogMessage::AppendStatus status)
{
    appended(m_cancellations, job, status);
}

void SubmissionTracker::appended(RecordsByJob& jobs, const state::JobId& job, LogMessage::AppendStatus status)
{
    auto found = jobs.find(job);
    if (found == jobs.end())
        return;
    PendingRecord& record = found->second;
    --record.appendsInFlight;
    if (status != LogMessage::AppendStatus::NotAppended) {
        record.unresolved = true;
        return;
    }
    if (record.appendsInFlight > 0)
        return;
    for (const Waiter& waiter : record.waiters)
        waiter.reply(record.unresolved ? makeResponse(Status::Unknown, job, unresolvedReason)
                                       : makeResponse(Status::Refused, job, "log_unavailable"));
    record.waiters.clear();
    if (!record.unresolved)
        jobs.erase(found);
}

bool SubmissionTracker::unresolved(const RecordsByJob& jobs, const state::JobId& job)
{
    auto found = jobs.find(job);
    return found != jobs.end() && (found->second.unresolved || found->second.appendsInFlight > 0);
}

void SubmissionTracker::expire(state::MonotonicTime now)
{
    expire(m_submissions, now);
    expire(m_cancellations, now);
}

void SubmissionTracker::expire(RecordsByJob& jobs, state::MonotonicTime now)
{
    for (auto& [job, record] : jobs) {
        std::erase_if(record.waiters, [&job = job, now](const Waiter& entry) {
            if (now < entry.deadline)
                return false;
            entry.reply(makeResponse(Status::Unknown, job, "the record was not read back in time"));
            return true;
        });
    }
    std::erase_if(jobs, [now](const auto& entry) {
        return entry.second.waiters.empty() && now >= entry.second.latestDeadline + unresolvedRetention;
    });
}

std::optional<state::MonotonicTime> SubmissionTracker::nextDeadline() const
{
    std::optional<state::MonotonicTime> next;
    for (const RecordsByJob* jobs : { &m_submissions, &m_cancellations }) {
        for (const auto& [job, record] : *jobs) {
            for (const Waiter& entry : record.waiters)
                next = next ? std::min(*next, entry.deadline) : entry.deadline;
        }
    }
    return next;
}

} // namespace lentilsaddle::coordination
