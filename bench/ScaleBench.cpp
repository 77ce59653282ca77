#include "bench/ScaleBench.h"

#include "coordination/decisions/CellPlacement.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/PlacementPolicy.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <memory>
#include <string>

namespace lentilsaddle::bench {

namespace {

    using state::Adjacency;

    constexpr std::array<int, 3> workerCounts { 48, 480, 3900 };
    constexpr int workersPerRack = 8;
    /// 230 accounts at 3,900 workers.
    constexpr int workersPerAccount = 17;
    constexpr int repetitions = 20;

    state::AccountId accountId(int index)
    {
        return state::AccountId("team-" + std::to_string(1000 + index));
    }

    void addWorkersAndGuarantees(state::PlacementState& placement, int workers)
    {
        std::vector<state::Worker> workerList;
        workerList.reserve(static_cast<std::size_t>(workers));
        for (int i = 0; i < workers; ++i)
            workerList.push_back({ .id = state::WorkerId("worker-" + std::to_string(10'000 + i)),
                .rack = state::RackId("rack-" + std::to_string(1000 + i / workersPerRack)),
                .position = i % workersPerRack,
                .accelerators = i % 3 == 2 ? 1 : 2 });
        placement.setWorkers(workerList);
        state::Configuration configuration;
        for (int i = 0; i < std::max(2, workers / workersPerAccount); ++i) {
            state::AccountId id = accountId(i);
            configuration.accounts[id] = { .id = id,
                .guarantees = { { .accelerators = 8, .adjacency = Adjacency::Rack },
                    { .accelerators = 2, .adjacency = Adjacency::Worker, .count = 2 } } };
        }
        placement.setGuarantees(configuration, state::DataCentreId());
    }

    coordination::QueuedJob job(const std::string& id, const state::AccountId& account, const state::GangShape& shape)
    {
        return {
            .specification
            = { .id = state::JobId(id), .account = account, .shape = shape, .declaredRunTime = std::chrono::hours(2) }
        };
    }

    /// Fills the data centre: half of the accounts run within their guarantees, borrowers use the remaining capacity.
    void fill(ScaleCase& scale, const coordination::PlacementPolicy& policy)
    {
        auto accounts = static_cast<int>(scale.placement.guarantees().size());
        for (int i = 1; i < accounts; i += 2) {
            scale.queue.push_back(job("cell-" + std::to_string(i), accountId(i),
                { .tasks = 8, .acceleratorsPerTask = 1, .adjacency = Adjacency::Rack }));
        }
        // Every other borrower runs under an account with a guarantee, but not under the urgent job's account, so that
        // the urgent job has to reclaim its guarantee.
        int borrowers = scale.placement.accelerators() / 4;
        for (int i = 0; i < borrowers; ++i) {
            scale.queue.push_back(job("borrower-" + std::to_string(10'000 + i),
                i % 2 == 0 ? state::AccountId("guest") : accountId(1 + i % (accounts - 1)),
                { .tasks = 4, .acceleratorsPerTask = 1, .adjacency = Adjacency::DataCentre }));
        }
        coordination::PlacementPlan plan = policy(scale.placement, scale.queue, state::MonotonicTime());
        for (const auto& start : plan.starts) {
            auto queued = std::find_if(scale.queue.begin(), scale.queue.end(),
                [&start](const coordination::QueuedJob& waiting) { return waiting.specification.id == start.job; });
            scale.placement.allocate(start.job, queued->specification.account, start.placements,
                { .withinGuarantee = start.withinGuarantee,
                    .expectedEnd = state::MonotonicTime(std::chrono::hours(2)) });
        }
        scale.queue.clear();
    }

    /// @return mean processor time of a placement decision.
    std::chrono::duration<double, std::milli> decisionTime(
        const ScaleCase& scale, const coordination::PlacementPolicy& policy)
    {
        std::clock_t begin = std::clock();
        for (int i = 0; i < repetitions; ++i)
            policy(scale.placement, scale.queue, state::MonotonicTime());
        std::chrono::duration<double> total(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
        return total / repetitions;
    }

    /// Allocates all jobs again without `withinGuarantee` and `expectedEnd`, as after a failover.
    void simulateFailover(ScaleCase& scale)
    {
        auto allocations = scale.placement.allocations();
        for (const auto& [id, allocation] : allocations) {
            scale.placement.release(id);
            scale.placement.allocate(id, allocation.account, allocation.placements);
        }
    }

    /// Marks the workers of the last rack unavailable, so that some cells may not fit.
    void simulateRackFailure(ScaleCase& scale)
    {
        std::vector<state::WorkerId> unavailable;
        for (const auto& [id, slots] : scale.placement.workers()) {
            if (slots.worker.rack == scale.placement.workers().rbegin()->second.worker.rack)
                unavailable.push_back(id);
        }
        for (const state::WorkerId& id : unavailable)
            scale.placement.setAvailable(id, false);
    }

    /// @return heap memory of a scale case without waiting borrowers.
    std::size_t stateBytes(int workers)
    {
        std::size_t before = mallinfo2().uordblks;
        auto scale = std::make_unique<ScaleCase>(makeScaleCase(workers, 0));
        return mallinfo2().uordblks - before;
    }

} // namespace

ScaleCase makeScaleCase(int workers, int waitingBorrowers)
{
    ScaleCase scale;
    addWorkersAndGuarantees(scale.placement, workers);
    fill(scale, coordination::makeCellPlacement({}));
    scale.queue.push_back(
        job("urgent", accountId(0), { .tasks = 8, .acceleratorsPerTask = 1, .adjacency = Adjacency::Rack }));
    scale.queue.back().specification.urgent = true;
    for (int i = 0; i < waitingBorrowers; ++i)
        scale.queue.push_back(job("waiting-" + std::to_string(i), state::AccountId("guest"),
            { .tasks = 16, .acceleratorsPerTask = 1, .adjacency = Adjacency::DataCentre }));
    return scale;
}

void runScaleBench(std::ostream& output)
{
    output << "| workers | accelerators | running jobs | urgent decision, ms | with 500 waiting jobs, ms | "
              "after a failover, ms | rack lost, ms | state, KB |\n"
           << "|---|---|---|---|---|---|---|---|\n"
           << std::fixed << std::setprecision(2);
    coordination::PlacementPolicy policy = coordination::makeCellPlacement({});
    for (int workers : workerCounts) {
        std::size_t bytes = stateBytes(workers);
        ScaleCase urgent = makeScaleCase(workers, 0);
        ScaleCase queued = makeScaleCase(workers, 500);
        ScaleCase failedOver = makeScaleCase(workers, 0);
        simulateFailover(failedOver);
        ScaleCase rackLost = makeScaleCase(workers, 0);
        simulateRackFailure(rackLost);
        output << "| " << workers << " | " << urgent.placement.accelerators() << " | "
               << urgent.placement.allocations().size() << " | " << decisionTime(urgent, policy).count() << " | "
               << decisionTime(queued, policy).count() << " | " << decisionTime(failedOver, policy).count() << " | "
               << decisionTime(rackLost, policy).count() << " | " << bytes / 1024 << " |\n";
    }
}

} // namespace lentilsaddle::bench
