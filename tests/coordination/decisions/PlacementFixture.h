/// @file
/// Small data centre for placement tests.
#pragma once

#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/PlacementPolicy.h"
#include "coordination/decisions/QueuedJob.h"
#include "state/PlacementState.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Placement state with a queue; applies plans and reports broken rules.
struct PlacementFixture {
    state::PlacementState placement;
    std::vector<QueuedJob> queue;
    std::map<state::JobId, state::JobSpecification> specifications;
    std::set<state::JobId> startedInGuarantee;
    state::Configuration configuration;
    int submitted = 0;

    PlacementFixture(int racks, int workersPerRack, int accelerators)
    {
        std::vector<state::Worker> workers;
        workers.reserve(static_cast<std::size_t>(racks) * static_cast<std::size_t>(workersPerRack));
        for (int i = 0; i < racks * workersPerRack; ++i)
            workers.push_back({ .id = workerId(i),
                .rack = state::RackId("r" + std::to_string(i / workersPerRack)),
                .position = i % workersPerRack,
                .accelerators = accelerators });
        placement.setWorkers(workers);
    }

    static state::WorkerId workerId(int index) { return state::WorkerId("w" + std::to_string(100 + index)); }

    void guarantee(const std::string& account, std::vector<state::Guarantee> guarantees)
    {
        state::AccountId id(account);
        configuration.accounts[id] = { .id = id, .guarantees = std::move(guarantees) };
        placement.setGuarantees(configuration, state::DataCentreId());
    }

    state::JobId submit(const std::string& account, const state::GangShape& shape, bool urgent = false)
    {
        state::JobId id("j" + std::to_string(10000 + submitted++));
        specifications[id] = { .id = id,
            .account = state::AccountId(account),
            .shape = shape,
            .declaredRunTime = std::chrono::hours(1),
            .urgent = urgent };
        queue.push_back({ .specification = specifications[id] });
        return id;
    }

    bool running(const state::JobId& job) const { return placement.allocations().contains(job); }

    /// @return what is wrong with a start, or an empty text.
    std::string startFault(const PlacementPlan::Start& start) const
    {
        auto queued = std::find_if(
            queue.begin(), queue.end(), [&start](const QueuedJob& job) { return job.specification.id == start.job; });
        if (queued == queue.end())
            return "job is not waiting";
        const state::GangShape& shape = queued->specification.shape;
        if (static_cast<int>(start.placements.size()) != shape.tasks)
            return "part of a gang";
        std::set<state::WorkerId> workers;
        std::set<state::RackId> racks;
        for (const state::TaskPlacement& task : start.placements) {
            const auto& slots = placement.workers().at(task.worker);
            if (static_cast<int>(task.accelerators.size()) != shape.acceleratorsPerTask)
                return "part of a task";
            if (!slots.available)
                return "worker is not available";
            workers.insert(task.worker);
            racks.insert(slots.worker.rack);
        }
        if (shape.adjacency == state::Adjacency::Worker && workers.size() > 1)
            return "several workers";
        return shape.adjacency == state::Adjacency::Rack && racks.size() > 1 ? "several racks" : "";
    }

    /// Starts the plan's jobs; an occupied accelerator makes PlacementState throw.
    /// @return what is wrong with the starts, or an empty text.
    std::string applyStarts(const PlacementPlan& plan)
    {
        for (const PlacementPlan::Start& start : plan.starts) {
            std::string fault = startFault(start);
            if (!fault.empty())
                return fault;
            placement.allocate(start.job, specifications.at(start.job).account, start.placements,
                { .withinGuarantee = start.withinGuarantee });
            if (start.withinGuarantee)
                startedInGuarantee.insert(start.job);
            auto started = std::find_if(queue.begin(), queue.end(),
                [&start](const QueuedJob& job) { return job.specification.id == start.job; });
            for (auto earlier = queue.begin(); earlier != started; ++earlier)
                ++earlier->bypassed;
            queue.erase(started);
        }
        return "";
    }

    /// Decides, starts, and ends preempted jobs at once.
    PlacementPlan step(const PlacementPolicy& policy)
    {
        PlacementPlan plan = policy(placement, queue, state::MonotonicTime());
        applyStarts(plan);
        for (const state::JobId& job : plan.preemptions)
            placement.release(job);
        return plan;
    }
};

} // namespace lentilsaddle::coordination
