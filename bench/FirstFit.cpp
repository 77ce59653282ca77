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

    std::optional<std::vector<GangTask>> firstIn(
        const std::vector<int>& workers, const state::GangShape& shape, const AcceleratorCounts& room)
    {
        std::vector<GangTask> tasks;
        for (int worker : workers) {
            int count = room[static_cast<std::size_t>(worker)] / shape.acceleratorsPerTask;
            for (int i = 0; i < count && static_cast<int>(tasks.size()) < shape.tasks; ++i)
                tasks.push_back({ .worker = worker, .accelerators = shape.acceleratorsPerTask });
        }
        if (static_cast<int>(tasks.size()) < shape.tasks)
            return std::nullopt;
        return tasks;
    }

    std::optional<std::vector<GangTask>> firstFitFor(
        const ClusterView& view, const state::GangShape& shape, const AcceleratorCounts& room)
    {
        std::vector<int> all(room.size());
        std::iota(all.begin(), all.end(), 0);
        if (shape.adjacency == state::Adjacency::DataCentre)
            return firstIn(all, shape, room);
        if (shape.adjacency == state::Adjacency::Rack) {
            for (const std::vector<int>& rack : view.racks()) {
                if (auto tasks = firstIn(rack, shape, room))
                    return tasks;
            }
            return std::nullopt;
        }
        for (int worker : all) {
            if (auto tasks = firstIn({ worker }, shape, room))
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
        AcceleratorCounts room = view.freeAccelerators();
        coordination::PlacementPlan plan;
        for (const coordination::QueuedJob& job : queue) {
            auto tasks = firstFitFor(view, job.specification.shape, room);
            if (!tasks)
                continue;
            coordination::subtract(room, *tasks);
            plan.starts.push_back({ .job = job.specification.id, .placements = picker.pick(*tasks) });
        }
        return plan;
    };
}

} // namespace lentilsaddle::bench
