// Lease renewal of GangRunner and the task states in its responses.
#include "coordination/jobs/GangRunner.h"

#include <algorithm>

namespace lentilsaddle::coordination {

using protocol::WorkerLease;
using protocol::WorkerResponse;
using state::MonotonicTime;
using state::WorkerId;
using state::WorkerTask;

namespace {

    bool contains(const std::vector<state::JobId>& jobs, const state::JobId& job)
    {
        return std::find(jobs.begin(), jobs.end(), job) != jobs.end();
    }

} // namespace

void GangRunner::releaseOrphanedTasks(const WorkerId& worker, const std::vector<WorkerTask>& tasks)
{
    const state::Worker* target = m_hooks.findWorker(worker);
    for (const WorkerTask& task : tasks) {
        auto found = m_gangs.find(task.job);
        bool known = found != m_gangs.end() && found->second.claim.token == task.token;
        if (known || !target)
            continue;
        WorkerLease orphan {
            .job = task.job, .attempt = task.attempt, .token = { .epoch = m_epoch, .sequence = task.token.sequence }
        };
        m_client.release(*target, orphan, [](const WorkerResponse&) {});
    }
}

void GangRunner::renewAll()
{
    std::map<WorkerId, std::vector<WorkerLease>> batches;
    for (const auto& [job, gang] : m_gangs) {
        for (const state::TaskPlacement& placement : gang.claim.placements) {
            if (gang.coordinator.needsRenewal(placement.worker))
                batches[placement.worker].push_back(workerLease(gang));
        }
    }
    for (const auto& [id, leases] : batches) {
        if (const state::Worker* worker = m_hooks.findWorker(id))
            renew(*worker, leases);
        else
            onRenewalResponse(id, leases, {}, m_environment.monotonicClock());
    }
}

void GangRunner::renew(const state::Worker& worker, const std::vector<WorkerLease>& leases)
{
    MonotonicTime sentAt = m_environment.monotonicClock();
    m_client.renew(worker, m_epoch, leases, m_options.gang.leaseTtl,
        [this, id = worker.id, leases, epoch = m_epoch, sentAt](const WorkerResponse& response) {
            if (epoch != m_epoch)
                return;
            m_hooks.onResponse();
            if (response.status == WorkerResponse::Status::Fenced)
                m_hooks.onHigherEpoch(response.epoch);
            else
                onRenewalResponse(id, leases, response, sentAt);
        });
}

void GangRunner::onRenewalResponse(const WorkerId& worker, const std::vector<WorkerLease>& leases,
    const WorkerResponse& response, MonotonicTime sentAt)
{
    MonotonicTime now = m_environment.monotonicClock();
    // Task states are applied first, so that a finished task without a lease does not count as lost.
    for (const WorkerTask& task : response.tasks)
        reportTask(worker, task);
    for (const WorkerLease& lease : leases) {
        AttemptKey key { .job = lease.job, .attempt = lease.attempt, .epoch = m_epoch };
        applyEvent(key, [&](GangCoordinator& gang) {
            if (response.status != WorkerResponse::Status::Ok)
                return gang.renewalFailed(worker, now);
            if (contains(response.lost, lease.job))
                return gang.leaseLost(worker, now);
            return contains(response.renewed, lease.job) ? gang.renewed(worker, sentAt)
                                                         : gang.renewalFailed(worker, now);
        });
    }
    releaseOrphanedTasks(worker, response.tasks);
}

void GangRunner::reportTask(const WorkerId& worker, const WorkerTask& task)
{
    auto found = m_gangs.find(task.job);
    // An unrecorded attempt, started by a scheduler that was cut off from the log, has the number of the next recorded
    // attempt but a different token.
    if (found == m_gangs.end() || found->second.claim.token != task.token)
        return;
    if (task.state == WorkerTask::State::Failed)
        m_hooks.onStartResult(worker, task.job, false);
    if (task.state == WorkerTask::State::Running || task.state == WorkerTask::State::Succeeded)
        m_hooks.onStartResult(worker, task.job, true);
    applyEvent(attemptKey(found->second), [&](GangCoordinator& gang) {
        return gang.taskReported(worker, task.state, task.reason, m_environment.monotonicClock());
    });
}

} // namespace lentilsaddle::coordination
