#include "coordination/batch/BatchScheduler.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJob;
using state::batch::BatchJobEntry;
using state::batch::BatchStep;
using state::batch::BatchTaskId;
using state::batch::BatchTaskState;
using std::chrono::milliseconds;

namespace {

    // What an accelerator counts in cores when work is thrown away.
    constexpr double coresPerAccelerator = 8;
    // Work since the last checkpoint of a task that writes them, at most.
    constexpr double checkpointedLossSeconds = 1.5;
    // Late results still earn up to this multiple of the objective.
    constexpr int lateFactor = 3;

    // Longest chain of estimates from the start of each step to the end of the job.
    std::vector<milliseconds> chainsFrom(const BatchJob& job)
    {
        std::vector<milliseconds> chains(job.steps.size(), milliseconds(0));
        for (std::size_t step = job.steps.size(); step-- > 0;) {
            chains[step] += job.steps[step].estimate;
            for (int predecessor : job.steps[step].after) {
                auto index = static_cast<std::size_t>(predecessor);
                chains[index] = std::max(chains[index], chains[step]);
            }
        }
        return chains;
    }

    double coreSeconds(const BatchStep& step)
    {
        double cores = static_cast<double>(step.need.milliCores) / 1'000
            + coresPerAccelerator * static_cast<double>(step.need.accelerators);
        return cores * static_cast<double>(step.taskCount) * std::chrono::duration<double>(step.estimate).count();
    }

} // namespace

PlanInput BatchScheduler::makeInput()
{
    PlanInput input { .now = m_hooks.clock() };
    addUnits(input);
    if (input.units.empty())
        return input;
    addWorkers(input);
    markGuaranteed(input);
    return input;
}

void BatchScheduler::addUnits(PlanInput& input)
{
    state::WallTime wallNow = m_hooks.wallClock();
    RoomTakers takers = roomTakers();
    for (const state::JobId& job : m_table.activeJobs()) {
        const BatchJobEntry& entry = *m_table.find(job);
        std::vector<milliseconds> chains = chainsFrom(entry.job());
        for (int occurrence = 0; occurrence < entry.job().occurrences; ++occurrence) {
            if (entry.job().timed() && entry.job().due(occurrence) - m_options.earlyStart > wallNow)
                break;
            for (int step = 0; step < static_cast<int>(entry.job().steps.size()); ++step) {
                if (entry.predecessorsDone(occurrence, step))
                    addStep(input, takers, entry, occurrence, step, chains);
            }
        }
    }
}

BatchScheduler::RoomTakers BatchScheduler::roomTakers() const
{
    RoomTakers takers;
    for (const auto& [worker, session] : m_sessions) {
        for (const auto& [key, occupant] : session->occupants())
            takers[{ key.first.job, key.first.occurrence, key.first.step }].emplace_back(key.first.index, worker);
    }
    return takers;
}

void BatchScheduler::addStep(PlanInput& input, const RoomTakers& takers, const BatchJobEntry& entry, int occurrence,
    int step, const std::vector<milliseconds>& chains)
{
    const BatchJob& job = entry.job();
    const BatchStep& description = job.steps[static_cast<std::size_t>(step)];
    BatchUnit unit {
        .job = job.id,
        .account = job.account,
        .occurrence = occurrence,
        .step = step,
        .need = description.need,
        .gang = description.gang,
        .sameRack = description.sameRack,
        .requiredLabel = description.requiredLabel,
        .preferredRack = description.preferredRack,
        .maximumPerWorker = description.maximumPerWorker,
        .service = job.queue.service,
        .priority = job.queue.priority,
        .estimate = chains[static_cast<std::size_t>(step)],
    };
    for (int index = 0; index < description.taskCount; ++index) {
        BatchTaskId id { .job = job.id, .occurrence = occurrence, .step = step, .index = index };
        if (entry.task(id).phase == BatchTaskState::Phase::Queued && !m_claiming.contains(id))
            unit.indices.push_back(index);
    }
    if (unit.indices.empty())
        return;
    if (unit.gang && static_cast<int>(unit.indices.size()) != description.taskCount)
        return;
    // A task whose earlier run may still take room somewhere cannot start again.
    StepKey key(job.id, occurrence, step);
    if (auto taking = takers.find(key); taking != takers.end()) {
        if (unit.gang)
            return;
        for (const auto& [index, worker] : taking->second) {
            std::erase(unit.indices, index);
            ++unit.onWorker[worker];
        }
    }
    if (unit.indices.empty())
        return;
    unit.readySince = m_readySince.try_emplace(key, input.now).first->second;
    if (auto failed = m_failedOn.find(key); failed != m_failedOn.end())
        unit.avoid = failed->second;

    state::WallTime begin = job.timed() ? job.due(occurrence) : job.submitted;
    auto age = std::chrono::duration_cast<milliseconds>(m_hooks.wallClock() - begin);
    milliseconds longest = *std::max_element(chains.begin(), chains.end());
    auto objective = std::chrono::duration_cast<milliseconds>(longest * job.queue.stretch) + job.queue.targetRuntime;
    unit.deadline = input.now - age + objective;
    unit.worthlessAfter = input.now - age + lateFactor * objective;
    double work = 0;
    for (const BatchStep& other : job.steps)
        work += coreSeconds(other);
    unit.density = work > 0 ? 1 / work : 1;
    input.units.push_back(std::move(unit));
}

double BatchScheduler::lossOf(const Occupant& occupant, const BatchStep& step) const
{
    double seconds = std::chrono::duration<double>(m_hooks.clock() - occupant.since).count();
    if (step.savesProgress)
        seconds = std::min(seconds, checkpointedLossSeconds);
    double cores = static_cast<double>(occupant.need.milliCores) / 1'000
        + coresPerAccelerator * static_cast<double>(occupant.need.accelerators);
    return cores * seconds;
}

void BatchScheduler::addWorkers(PlanInput& input)
{
    std::map<GroupKey, std::size_t> groups;
    for (const auto& [id, session] : m_sessions) {
        std::vector<WorkerRoom::Run> runs;
        for (const auto& [key, occupant] : session->occupants()) {
            GroupKey groupKey = groupOf(key.first, key.second);
            auto [found, added] = groups.try_emplace(groupKey, input.groups.size());
            const BatchJobEntry* entry = m_table.find(key.first.job);
            bool known = entry && entry->contains(key.first);
            if (added) {
                input.groups.push_back({
                    .account = known ? entry->job().account : state::AccountId(),
                    .priority = known ? entry->job().queue.priority : 0,
                });
            }
            RunningGroup& group = input.groups[found->second];
            group.runs.push_back(key);
            if (known)
                group.loss += lossOf(occupant, entry->job().steps[static_cast<std::size_t>(key.first.step)]);
            bool leaving
                = occupant.phase == Occupant::Phase::Stopping || occupant.phase == Occupant::Phase::StopAcknowledged;
            runs.push_back({ .group = found->second, .need = occupant.need, .leaving = leaving });
        }
        if (!session->usable())
            continue;
        auto quarantine = m_quarantine.state(id, input.now);
        bool probe = quarantine == WorkerQuarantine::State::HalfOpen && session->occupants().empty();
        if (quarantine != WorkerQuarantine::State::Open && !probe)
            continue;
        WorkerRoom room { .worker = session->description(), .free = session->freeRoom() };
        room.freeSoon = room.free;
        for (const WorkerRoom::Run& run : runs) {
            if (run.leaving)
                room.freeSoon += run.need;
        }
        room.runs = std::move(runs);
        room.slowness = m_speed.slowness(id, input.now);
        input.workers.push_back(std::move(room));
    }
}

void BatchScheduler::markGuaranteed(PlanInput& input) const
{
    std::map<state::AccountId, std::int64_t> left;
    auto take = [&](const state::AccountId& account, std::int64_t accelerators) {
        auto found = left.try_emplace(account, -1).first;
        if (found->second < 0)
            found->second = m_hooks.guarantee(account);
        if (found->second < accelerators)
            return false;
        found->second -= accelerators;
        return true;
    };
    for (std::size_t index = 0; index < input.groups.size(); ++index) {
        RunningGroup& group = input.groups[index];
        if (group.priority != 0 || group.runs.empty())
            continue;
        const BatchTaskId& first = group.runs.front().first;
        const BatchJobEntry* entry = m_table.find(first.job);
        if (!entry || !entry->contains(first))
            continue;
        std::int64_t each = entry->job().steps[static_cast<std::size_t>(first.step)].need.accelerators;
        group.guaranteed = take(group.account, each * static_cast<std::int64_t>(group.runs.size()));
    }
    std::vector<BatchUnit*> urgent;
    for (BatchUnit& unit : input.units) {
        if (unit.priority == 0)
            urgent.push_back(&unit);
    }
    std::sort(urgent.begin(), urgent.end(),
        [](const BatchUnit* a, const BatchUnit* b) { return a->readySince < b->readySince; });
    for (BatchUnit* unit : urgent) {
        std::int64_t accelerators = unit->need.accelerators * static_cast<std::int64_t>(unit->indices.size());
        unit->guaranteed = take(unit->account, accelerators);
    }
}

} // namespace lentilsaddle::coordination::batch
