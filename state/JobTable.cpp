#include "state/JobTable.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace lentilsaddle::state {

JobTable::JobTable(const Limits& limits)
    : m_limits(limits)
{
}

bool JobTable::apply(const Record& record)
{
    return std::visit(
        [&](const auto& body) {
            if constexpr (requires { applyBody(body, record.origin); })
                return applyBody(body, record.origin);
            else
                return false;
        },
        record.body);
}

const JobTable::Job* JobTable::find(const JobId& id) const
{
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool JobTable::startable(const Job& job)
{
    if (job.state != JobState::Queued || job.claim || job.cancelRequested)
        return false;
    // After an attempt, a non-repeatable job may start again only if that attempt certainly did not start ("released")
    // or wrote a checkpoint ("preempted").
    return job.specification.repeatable || job.lastOutcome.empty() || job.lastOutcome == "released"
        || job.lastOutcome == "preempted";
}

std::vector<const JobTable::Job*> JobTable::openJobs() const
{
    std::vector<const Job*> jobs;
    jobs.reserve(m_openJobs.size());
    for (const auto& [order, id] : m_openJobs)
        jobs.push_back(&m_jobs.at(id));
    return jobs;
}

bool JobTable::isScheduler(const InstanceId& instance, std::uint64_t incarnation) const
{
    return !m_scheduler.empty() && m_scheduler == instance && m_schedulerIncarnation == incarnation;
}

bool JobTable::isFromScheduler(const Origin& origin) const
{
    return isScheduler(origin.instance, origin.incarnation);
}

JobTable::Job* JobTable::findOpen(const JobId& id)
{
    auto found = m_jobs.find(id);
    return found == m_jobs.end() || isFinal(found->second.state) ? nullptr : &found->second;
}

JobTable::Job& JobTable::insertJob(JobSpecification specification)
{
    JobId id = specification.id;
    Job& job = m_jobs[id];
    job.specification = std::move(specification);
    job.order = m_nextOrder++;
    m_openJobs.emplace(job.order, id);
    return job;
}

bool JobTable::applyBody(const Record::JobSubmitted& body, const Origin&)
{
    if (m_jobs.contains(body.specification.id))
        return false;
    insertJob(body.specification);
    return true;
}

bool JobTable::applyBody(const Record::SchedulerClaim& body, const Origin& origin)
{
    if (body.epoch != m_epoch + 1)
        return false;
    m_epoch = body.epoch;
    m_scheduler = body.vacant ? InstanceId() : origin.instance;
    m_schedulerIncarnation = body.vacant ? 0 : origin.incarnation;
    return true;
}

bool JobTable::applyBody(const Record::StartClaim& body, const Origin& origin)
{
    Job* job = findOpen(body.job);
    if (!job || body.token.epoch != m_epoch || !isFromScheduler(origin))
        return false;
    if (!startable(*job) || body.attempt != job->attempts + 1)
        return false;
    job->attempts = body.attempt;
    job->claim = body;
    job->state = JobState::Claimed;
    return true;
}

bool JobTable::applyBody(const Record::AttemptEnded& body, const Origin& origin)
{
    Job* job = findOpen(body.job);
    if (!job || !isFromScheduler(origin) || !job->claim || job->claim->attempt != body.attempt)
        return false;
    job->claim.reset();
    job->lastOutcome = body.outcome;
    job->reason = body.reason;
    job->failures += body.outcome == "failed" ? 1 : 0;
    job->failedWorkers.insert(body.failedWorkers.begin(), body.failedWorkers.end());
    job->state = job->cancelRequested || body.outcome == "succeeded" ? JobState::Stopping : JobState::Queued;
    return true;
}

bool JobTable::applyBody(const Record::JobEnded& body, const Origin& origin)
{
    Job* job = findOpen(body.job);
    if (!job || !isFromScheduler(origin) || job->claim)
        return false;
    auto state = jobStateFromString(body.outcome);
    endJob(*job, state && isFinal(*state) ? *state : JobState::Unknown, body.reason);
    return true;
}

bool JobTable::applyBody(const Record::JobCancelled& body, const Origin&)
{
    Job* job = findOpen(body.job);
    if (!job || job->cancelRequested || job->lastOutcome == "succeeded")
        return false;
    job->cancelRequested = true;
    if (job->claim)
        job->state = JobState::Stopping;
    else
        endJob(*job, JobState::Cancelled, "cancelled by the caller");
    return true;
}

void JobTable::endJob(Job& job, JobState state, const std::string& reason)
{
    job.state = state;
    job.reason = reason;
    m_openJobs.erase(job.order);
    job.order = 0;
    m_endedJobs.push_back(job.specification.id);
    m_endedPayloadBytes += job.specification.payload.size();
    evictEndedJobs();
}

void JobTable::evictEndedJobs()
{
    while (m_endedJobs.size() > m_limits.endedJobs || m_endedPayloadBytes > m_limits.endedPayloadBytes) {
        auto oldest = m_jobs.find(m_endedJobs.front());
        m_endedPayloadBytes -= oldest->second.specification.payload.size();
        m_jobs.erase(oldest);
        m_endedJobs.pop_front();
    }
}

Record::JobSnapshot JobTable::snapshot(LogOffset nextOffset) const
{
    Record::JobSnapshot snapshot {
        .epoch = m_epoch,
        .scheduler = m_scheduler,
        .schedulerIncarnation = m_schedulerIncarnation,
        .jobs = {},
        .nextOffset = nextOffset,
    };
    auto add = [&](const Job& job) {
        snapshot.jobs.push_back({
            .specification = job.specification,
            .attempts = job.attempts,
            .failures = job.failures,
            .claim = job.claim,
            .state = std::string(toString(job.state)),
            .reason = job.reason,
            .lastOutcome = job.lastOutcome,
            .cancelRequested = job.cancelRequested,
            .failedWorkers = { job.failedWorkers.begin(), job.failedWorkers.end() },
        });
    };
    for (const JobId& id : m_endedJobs)
        add(m_jobs.at(id));
    for (const Job* job : openJobs())
        add(*job);
    return snapshot;
}

void JobTable::load(const Record::JobSnapshot& snapshot)
{
    JobTable next(m_limits);
    next.m_epoch = snapshot.epoch;
    next.m_scheduler = snapshot.scheduler;
    next.m_schedulerIncarnation = snapshot.schedulerIncarnation;
    for (const Record::JobSnapshotEntry& entry : snapshot.jobs) {
        Job& job = next.insertJob(entry.specification);
        job.state = jobStateFromString(entry.state).value_or(JobState::Unknown);
        job.attempts = entry.attempts;
        job.failures = entry.failures;
        job.claim = entry.claim;
        job.cancelRequested = entry.cancelRequested;
        job.lastOutcome = entry.lastOutcome;
        job.reason = entry.reason;
        job.failedWorkers = { entry.failedWorkers.begin(), entry.failedWorkers.end() };
        if (isFinal(job.state))
            next.endJob(job, job.state, entry.reason);
    }
    *this = std::move(next);
}

} // namespace lentilsaddle::state
