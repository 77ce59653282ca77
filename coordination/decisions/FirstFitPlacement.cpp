#include "coordination/decisions/FirstFitPlacement.h"

#include "coordination/decisions/QueuedJob.h"
#include "state/PlacementState.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    using FreeAccelerators = std::map<state::WorkerId, std::vector<int>>;

    /// Workers within which a gang of that adjacency must stay together.
    std::string domain(const state::Worker& worker, state::Adjacency adjacency)
    {
        switch (adjacency) {
        case state::Adjacency::Worker:
            return worker.id.value();
        case state::Adjacency::Rack:
            return worker.rack.value();
        case state::Adjacency::DataCentre:
            return {};
        }
        return {};
    }

    FreeAccelerators findFree(const state::PlacementState& placement)
    {
        FreeAccelerators free;
        for (const auto& [id, slots] : placement.workers()) {
            if (!slots.available)
                continue;
            for (std::size_t index = 0; index < slots.jobs.size(); ++index) {
                if (slots.jobs[index].empty())
                    free[id].push_back(static_cast<int>(index));
            }
        }
        return free;
    }

    std::optional<std::vector<state::TaskPlacement>> place(
        const state::PlacementState& placement, const FreeAccelerators& free, const QueuedJob& job)
    {
        const state::GangShape& shape = job.specification.shape;
        std::map<std::string, std::vector<state::TaskPlacement>> domains;
        std::map<std::string, int> tasks;
        for (const auto& [worker, accelerators] : free) {
            if (job.avoidedWorkers.contains(worker))
                continue;
            std::string name = domain(placement.workers().at(worker).worker, shape.adjacency);
            int fitting = static_cast<int>(accelerators.size()) / shape.acceleratorsPerTask;
            int taken = std::min(fitting, shape.tasks - tasks[name]);
            if (taken <= 0)
                continue;
            tasks[name] += taken;
            domains[name].push_back({ .worker = worker,
                .accelerators = { accelerators.begin(),
                    accelerators.begin() + std::ptrdiff_t { taken } * shape.acceleratorsPerTask } });
            if (tasks[name] == shape.tasks)
                return domains[name];
        }
        return std::nullopt;
    }

} // namespace

PlacementPlan firstFitPlacement(
    const state::PlacementState& placement, const std::vector<QueuedJob>& queue, state::MonotonicTime)
{
    PlacementPlan plan;
    FreeAccelerators free = findFree(placement);
    for (const QueuedJob& job : queue) {
        auto placements = place(placement, free, job);
        if (!placements)
            continue;
        for (const state::TaskPlacement& taken : *placements) {
            std::erase_if(free[taken.worker], [&](int index) {
                return std::find(taken.accelerators.begin(), taken.accelerators.end(), index)
                    != taken.accelerators.end();
            });
        }
        plan.starts.push_back({ .job = job.specification.id, .placements = std::move(*placements) });
    }
    return plan;
}

int largestGang(
    const state::PlacementState& placement, const state::GangShape& shape, const std::set<state::WorkerId>& avoided)
{
    std::map<std::string, int> accelerators;
    int largest = 0;
    for (const auto& [id, slots] : placement.workers()) {
        if (avoided.contains(id))
            continue;
        int& total = accelerators[domain(slots.worker, shape.adjacency)];
        total += slots.worker.accelerators / shape.acceleratorsPerTask * shape.acceleratorsPerTask;
        largest = std::max(largest, total);
    }
    return largest;
}

} // namespace lentilsaddle::coordination
