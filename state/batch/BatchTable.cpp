#include "state/batch/BatchTable.h"

#include "state/batch/JobMemory.h"

#include <utility>

namespace lentilsaddle::state::batch {

void BatchTable::applyJob(const BatchJob& job)
{
    auto [found, added] = m_jobs.try_emplace(job.id, BatchJobEntry(job));
    if (!added)
        return;
    BatchJobEntry& entry = found->second;
    if (m_earlyCancellations.erase(job.id) > 0)
        entry.cancel();
    if (m_earlyStarts.erase(job.id) > 0)
        entry.setStarted();
    auto early = m_earlyTasks.extract(job.id);
    if (early) {
        for (const TaskRecord& record : early.mapped()) {
            if (entry.contains(record.task))
                entry.setTaskState(record.task, record.state, record.offset);
        }
    }
    updateActive(entry);
}

void BatchTable::applyCancellation(const JobId& job)
{
    auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        m_earlyCancellations.insert(job);
        return;
    }
    found->second.cancel();
    updateActive(found->second);
}

void BatchTable::applyStart(const JobId& job)
{
    auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        m_earlyStarts.insert(job);
    else
        found->second.setStarted();
}

void BatchTable::applyTask(const BatchTaskId& task, const BatchTaskState& taskState, std::uint64_t offset)
{
    auto found = m_jobs.find(task.job);
    if (found == m_jobs.end()) {
        m_earlyTasks[task.job].push_back({ .task = task, .state = taskState, .offset = offset });
        return;
    }
    if (!found->second.contains(task))
        return;
    bool wasFinished = found->second.finished();
    found->second.setTaskState(task, taskState, offset);
    if (found->second.finished() != wasFinished)
        updateActive(found->second);
}

const BatchJobEntry* BatchTable::find(const JobId& job) const
{
    auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::size_t BatchTable::pendingCount(const std::string& queue) const
{
    std::size_t count = 0;
    for (const JobId& job : m_active) {
        const BatchJobEntry& entry = m_jobs.at(job);
        if (entry.job().queue.name == queue && !entry.started())
            ++count;
    }
    return count;
}

void BatchTable::updateActive(const BatchJobEntry& entry)
{
    const BatchJob& job = entry.job();
    if (!entry.finished()) {
        if (!m_active.insert(job.id).second)
            return;
        m_activeBytes += jobMemoryBytes(job);
        m_accountBytes[job.account] += jobMemoryBytes(job);
        return;
    }
    if (m_active.erase(job.id) == 0)
        return;
    m_activeBytes -= jobMemoryBytes(job);
    auto account = m_accountBytes.find(job.account);
    account->second -= jobMemoryBytes(job);
    if (account->second == 0)
        m_accountBytes.erase(account);
}

std::size_t BatchTable::activeBytes(const AccountId& account) const
{
    auto found = m_accountBytes.find(account);
    return found == m_accountBytes.end() ? 0 : found->second;
}

} // namespace lentilsaddle::state::batch
