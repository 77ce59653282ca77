#include "bench/BatchPlanBench.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <string>

namespace lentilsaddle::bench {

using coordination::batch::BatchPlanner;
using coordination::batch::BatchUnit;
using coordination::batch::PlanInput;
using coordination::batch::WorkerView;
using state::batch::Resources;

namespace {

    using std::chrono::milliseconds;

    constexpr std::array<int, 4> workerCounts { 48, 350, 490, 3'900 };
    constexpr int workersPerRack = 8;
    constexpr int repetitions = 10;
    constexpr Resources wholeWorker { .milliCores = 32'000, .memoryMegabytes = 65'536, .accelerators = 8 };
    constexpr state::MonotonicTime now { std::chrono::seconds(100) };

    Resources makeResources(std::int64_t milliCores, std::int64_t accelerators)
    {
        return { .milliCores = milliCores, .memoryMegabytes = 2 * milliCores, .accelerators = accelerators };
    }

    // Allocates resources of the worker to a running group of one task.
    void allocate(PlanInput& input, std::size_t worker, const Resources& resources, int priority)
    {
        WorkerView& view = input.workers[worker];
        view.free -= resources;
        view.freeAfterStops -= resources;
        view.runs.push_back({ .group = input.groups.size(), .resources = resources });
        input.groups.push_back({ .priority = priority, .loss = static_cast<double>(input.groups.size() % 97) });
    }

    BatchUnit makeUnit(std::size_t number, int tasks, const Resources& resources, int priority)
    {
        BatchUnit unit {
            .job = state::JobId("job-" + std::to_string(100'000 + number)),
            .account = state::AccountId("account-" + std::to_string(number % 10)),
            .resources = resources,
            .service = state::ServiceId("service"),
            .priority = priority,
            .deadline = now + milliseconds(20'000),
            .hardDeadline = now + milliseconds(60'000),
            .readySince = now - milliseconds(100 * static_cast<int>(number % 20)),
            .estimate = milliseconds(5'000),
        };
        for (int index = 0; index < tasks; ++index)
            unit.indices.push_back(index);
        return unit;
    }

} // namespace

PlanInput makeBatchPlanCase(int workers)
{
    PlanInput input { .now = now };
    for (int worker = 0; worker < workers; ++worker) {
        std::string rack = "rack-" + std::to_string(1'000 + worker / workersPerRack);
        input.workers.push_back({
            .worker = { .id = state::WorkerId("worker-" + std::to_string(10'000 + worker)),
                .service = state::ServiceId("service"),
                .capacity = wholeWorker,
                .labels = { "a", rack },
                .rack = rack },
            .free = wholeWorker,
            .freeAfterStops = wholeWorker,
        });
    }
    for (std::size_t worker = 0; worker < input.workers.size(); ++worker) {
        // Of every three workers, one is full of small tasks, one runs a large task and one has two free accelerators.
        if (worker % 3 == 0) {
            for (int task = 0; task < 8; ++task)
                allocate(input, worker, makeResources(2'800, 1), 2);
        } else if (worker % 3 == 1) {
            allocate(input, worker, makeResources(13'000, 8), 1);
        } else {
            allocate(input, worker, makeResources(3'700, 4), 0);
            allocate(input, worker, makeResources(2'800, 1), 2);
            allocate(input, worker, makeResources(2'800, 1), 2);
        }
    }
    // One unit waits per four workers.
    std::size_t units = input.workers.size() / 4;
    for (std::size_t number = 0; number < units; ++number) {
        bool gang = number % 3 == 0;
        int priority = static_cast<int>(number % 3);
        BatchUnit unit = priority == 2
            ? makeUnit(number, 30, makeResources(2'800, 1), 2)
            : makeUnit(number, gang ? 4 : 5, makeResources(3'700, number % 2 == 0 ? 8 : 2), priority);
        unit.gang = gang;
        unit.sameRack = gang;
        input.units.push_back(std::move(unit));
    }
    return input;
}

std::chrono::microseconds measureBatchPlan(const PlanInput& input, int rounds)
{
    std::clock_t ticks = 0;
    for (int round = 0; round < rounds; ++round) {
        PlanInput copy = input;
        std::clock_t begin = std::clock();
        BatchPlanner({}, std::move(copy)).plan();
        ticks += std::clock() - begin;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(ticks) * 1'000'000 / CLOCKS_PER_SEC / rounds);
}

void runBatchPlanBench(std::ostream& output)
{
    output << "| workers | units that wait | processor time of a round, ms |\n|---|---|---|\n";
    for (int workers : workerCounts) {
        PlanInput input = makeBatchPlanCase(workers);
        auto time = measureBatchPlan(input, workers > 1'000 ? 1 : repetitions);
        output << "| " << workers << " | " << input.units.size() << " | " << std::fixed << std::setprecision(2)
               << static_cast<double>(time.count()) / 1'000 << " |\n";
    }
}

} // namespace lentilsaddle::bench
