#include "coordination/jobs/SubmissionTracker.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using Status = SchedulerMessage::JobResponse::Status;

namespace {

    SchedulerMessage::JobResponse answer(Status status, const state::JobId& job, const std::string& reason = {})
    {
        return { .status = status, .id = job, .field = {}, .reason = reason };
    }

    SchedulerMessage::JobResponse conflict(const state::JobId& job)
    {
        return { .status = Status::Conflict,
            .id = job,
            .field = "job_id",
            .reason = "the identifier was submitted with another body" };
    }

} // namespace

bool SubmissionTracker::submit(const state::JobSpecification& specification, Reply reply, state::MonotonicTime deadline)
{
    std::vector<Waiting>& waiting = m_submissions[specification.id];
    bool first = waiting.empty();
    if (!first && waiting.front().specification != specification) {
        reply(conflict(specification.id));
        return false;
    }
    waiting.push_back({ .specification = specification, .reply = std::move(reply), .deadline = deadline });
    return first;
}

bool SubmissionTracker::cancel(const state::JobId& job, Reply reply, state::MonotonicTime deadline)
{
    std::vector<Waiting>& waiting = m_cancellations[job];
    waiting.push_back({ .specification = {}, .reply = std::move(reply), .deadline = deadline });
    return waiting.size() == 1;
}

void SubmissionTracker::submissionRead(const state::JobSpecification& accepted)
{
    auto found = m_submissions.find(accepted.id);
    if (found == m_submissions.end())
        return;
    for (const Waiting& waiting : found->second) {
        bool same = waiting.specification == accepted;
        waiting.reply(same ? answer(Status::Accepted, accepted.id) : conflict(accepted.id));
    }
    m_submissions.erase(found);
}

void SubmissionTracker::cancellationRead(const state::JobId& job)
{
    auto found = m_cancellations.find(job);
    if (found == m_cancellations.end())
        return;
    for (const Waiting& waiting : found->second)
        waiting.reply(answer(Status::Accepted, job));
    m_cancellations.erase(found);
}

void SubmissionTracker::submissionAppended(const state::JobId& job, LogMessage::AppendStatus status)
{
    appended(m_submissions, job, status);
}

void SubmissionTracker::cancellationAppended(const state::JobId& job, LogMessage::AppendStatus status)
{
    appended(m_cancellations, job, status);
}

void SubmissionTracker::appended(WaitingJobs& jobs, const state::JobId& job, LogMessage::AppendStatus status)
{
    auto found = jobs.find(job);
    if (found == jobs.end() || status != LogMessage::AppendStatus::NotAppended)
        return;
    for (const Waiting& waiting : found->second)
        waiting.reply(answer(Status::Refused, job, "log_unavailable"));
    jobs.erase(found);
}

void SubmissionTracker::expire(state::MonotonicTime now)
{
    expire(m_submissions, now);
    expire(m_cancellations, now);
}

void SubmissionTracker::expire(WaitingJobs& jobs, state::MonotonicTime now)
{
    for (auto& [job, waiting] : jobs) {
        std::erase_if(waiting, [&job = job, now](const Waiting& entry) {
            if (now < entry.deadline)
                return false;
            entry.reply(answer(Status::Unknown, job, "the record was not read back in time"));
            return true;
        });
    }
    std::erase_if(jobs, [](const auto& entry) { return entry.second.empty(); });
}

std::optional<state::MonotonicTime> SubmissionTracker::nextDeadline() const
{
    std::optional<state::MonotonicTime> next;
    for (const WaitingJobs* jobs : { &m_submissions, &m_cancellations }) {
        for (const auto& [job, waiting] : *jobs) {
            for (const Waiting& entry : waiting)
                next = next ? std::min(*next, entry.deadline) : entry.deadline;
        }
    }
    return next;
}

} // namespace lentilsaddle::coordination
