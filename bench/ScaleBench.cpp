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

    constexpr std::array<int, 3> sizes { 48, 480, 3900 };
    constexpr int workersPerRack = 8;
    /// 230 accounts at 3,900 workers.
    constexpr int workersPerAccount = 17;
    constexpr int repetitions = 20;

    state::AccountId accountId(int index)
    {
        return state::AccountId("team-" + std::to_string(1000 + index));
    }

    void setUp(state::PlacementState& placement, int workers)
    {
        std::vector<state::Worker> list;
        list.reserve(static_cast<std::size_t>(workers));
        for (int i = 0; i < workers; ++i)
            list.push_back({ .id = state::WorkerId("worker-" + std::to_string(10'000 + i)),
                .rack = state::RackId("rack-" + std::to_string(1000 + i / workersPerRack)),
                .position = i % workersPerRack,
                .accelerators = i % 3 == 2 ? 1 : 2 });
        placement.setWorkers(list);
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

    /// Fills the data centre: half of the accounts run in their guarantees, borrowers take the rest.
    void fill(ScaleCase& scale, const coordination::PlacementPolicy& policy)
    {
        auto accounts = static_cast<int>(scale.placement.guarantees().size());
        for (int i = 1; i < accounts; i += 2) {
            scale.queue.push_back(job("cell-" + std::to_string(i), accountId(i),
                { .tasks = 8, .acceleratorsPerTask = 1, .adjacency = Adjacency::Rack }));
        }
        // Every other one belongs to an account with a guarantee, but not to the urgent job's, which must have to
        // reclaim.
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

    std::chrono::duration<double, std::milli> decisionTime(
        const ScaleCase& scale, const coordination::PlacementPolicy& policy)
    {
        std::clock_t begin = std::clock();
        for (int i = 0; i < repetitions; ++i)
            policy(scale.placement, scale.queue, state::MonotonicTime());
        std::chrono::duration<double> total(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
        return total / repetitions;
    }

    /// Forgets how the jobs were started.
    void takeOver(ScaleCase& scale)
    {
        auto occupants = scale.placement.allocations();
        for (const auto& [id, occupant] : occupants) {
            scale.placement.release(id);
            scale.placement.allocate(id, occupant.account, occupant.placements);
        }
    }

    /// Loses the last rack, so that some cells may lack a place.
    void loseRack(ScaleCase& scale)
    {
        std::vector<state::WorkerId> lost;
        for (const auto& [id, slots] : scale.placement.workers()) {
            if (slots.worker.rack == scale.placement.workers().rbegin()->second.worker.rack)
                lost.push_back(id);
        }
        for (const state::WorkerId& id : lost)
            scale.placement.setAvailable(id, false);
    }

    std::size_t stateBytes(int workers)
    {
        std::size_t before = mallinfo2().uordblks;
        auto scale = std::make_unique<ScaleCase>(makeScaleCase(workers, 0));
        return mallinfo2().uordblks - before;
    }

} // namespace

ScaleCase makeScaleCase(int workers, int waiting)
{
    ScaleCase scale;
    setUp(scale.placement, workers);
    fill(scale, coordination::makeCellPlacement({}));
    scale.queue.push_back(
        job("urgent", accountId(0), { .tasks = 8, .acceleratorsPerTask = 1, .adjacency = Adjacency::Rack }));
    scale.queue.back().specification.urgent = true;
    for (int i = 0; i < waiting; ++i)
        scale.queue.push_back(job("waiting-" + std::to_string(i), state::AccountId("guest"),
            { .tasks = 16, .acceleratorsPerTask = 1, .adjacency = Adjacency::DataCentre }));
    return scale;
}

void runScaleBench(std::ostream& output)
{
    output << "| workers | accelerators | running jobs | urgent decision, ms | with 500 waiting jobs, ms | "
              "after a takeover, ms | rack lost, ms | state, KB |\n"
           << "|---|---|---|---|---|---|---|---|\n"
           << std::fixed << std::setprecision(2);
    coordination::PlacementPolicy policy = coordination::makeCellPlacement({});
    for (int workers : sizes) {
        std::size_t bytes = stateBytes(workers);
        ScaleCase urgent = makeScaleCase(workers, 0);
        ScaleCase queued = makeScaleCase(workers, 500);
        ScaleCase takenOver = makeScaleCase(workers, 0);
        takeOver(takenOver);
        ScaleCase rackLost = makeScaleCase(workers, 0);
        loseRack(rackLost);
        output << "| " << workers << " | " << urgent.placement.accelerators() << " | "
               << urgent.placement.allocations().size() << " | " << decisionTime(urgent, policy).count() << " | "
               << decisionTime(queued, policy).count() << " | " << decisionTime(takenOver, policy).count() << " | "
               << decisionTime(rackLost, policy).count() << " | " << bytes / 1024 << " |\n";
    }
}

} // namespace lentilsaddle::bench
