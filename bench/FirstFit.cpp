#include "bench/FirstFit.h"

#include "coordination/decisions/AcceleratorPicker.h"
#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GangFit.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/QueuedJob.h"

#include <numeric>
#include <optional>

namespace lentilsaddle::bench {

namespace {

    using coordination::AcceleratorCounts;
    using coordination::ClusterView;
    using coordination::GangTask;

    std::optional<std::vector<GangTask>> placeOnFirstWorkers(
        const std::vector<int>& workers, const state::GangShape& shape, const AcceleratorCounts& freeAccelerators)
    {
        std::vector<GangTask> tasks;
        for (int worker : workers) {
            int tasksOnWorker = freeAccelerators[static_cast<std::size_t>(worker)] / shape.acceleratorsPerTask;
            for (int i = 0; i < tasksOnWorker && static_cast<int>(tasks.size()) < shape.tasks; ++i)
                tasks.push_back({ .worker = worker, .accelerators = shape.acceleratorsPerTask });
        }
        if (static_cast<int>(tasks.size()) < shape.tasks)
            return std::nullopt;
        return tasks;
    }

    std::optional<std::vector<GangTask>> placeFirstFit(
        const ClusterView& view, const state::GangShape& shape, const AcceleratorCounts& freeAccelerators)
    {
        std::vector<int> allWorkers(freeAccelerators.size());
        std::iota(allWorkers.begin(), allWorkers.end(), 0);
        if (shape.adjacency == state::Adjacency::DataCentre)
            return placeOnFirstWorkers(allWorkers, shape, freeAccelerators);
        if (shape.adjacency == state::Adjacency::Rack) {
            for (const std::vector<int>& rack : view.racks()) {
                if (auto tasks = placeOnFirstWorkers(rack, shape, freeAccelerators))
                    return tasks;
            }
            return std::nullopt;
        }
        for (int worker : allWorkers) {
            if (auto tasks = placeOnFirstWorkers({ worker }, shape, freeAccelerators))
                return tasks;
        }
        return std::nullopt;
    }

} // namespace

coordination::PlacementPolicy firstFit()
{
    return [](const state::PlacementState& placement, const std::vector<coordination::QueuedJob>& queue,
               state::MonotonicTime) {
        ClusterView view(placement);
        coordination::AcceleratorPicker picker(view);
        AcceleratorCounts freeAccelerators = view.freeAccelerators();
        coordination::PlacementPlan plan;
        for (const coordination::QueuedJob& job : queue) {
            auto tasks = placeFirstFit(view, job.specification.shape, freeAccelerators);
            if (!tasks)
                continue;
            coordination::subtract(freeAccelerators, *tasks);
            plan.starts.push_back({ .job = job.specification.id, .placements = picker.pick(*tasks) });
        }
        return plan;
    };
}

} // namespace lentilsaddle::bench
