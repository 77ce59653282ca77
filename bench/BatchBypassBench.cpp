#include "bench/BatchBypassBench.h"

#include "coordination/decisions/batch/BatchPlanner.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::bench {

using coordination::batch::BatchPlan;
using coordination::batch::BatchPlanner;
using coordination::batch::BatchUnit;
using coordination::batch::PlanInput;
using state::MonotonicTime;
using state::batch::Resources;
using std::chrono::milliseconds;

namespace {

    constexpr int workersPerRack = 8;
    constexpr std::int64_t acceleratorsPerWorker = 8;
    constexpr Resources wholeWorker { .milliCores = 32'000, .memoryMegabytes = 65'536, .accelerators = 8 };
    constexpr milliseconds planInterval { 100 };
    constexpr milliseconds gangInterval { 4'000 };
    constexpr milliseconds gangRunTime { 4'000 };
    /// Time for which the simulation goes on after the last arrival.
    constexpr milliseconds drainTime { 60'000 };
    constexpr MonotonicTime begin { std::chrono::seconds(1'000) };

    struct Job {
        BatchUnit unit;
        milliseconds runTime { 0 };
        bool started = false;
    };

    class Simulation {
    public:
        explicit Simulation(const BatchBypassOptions& options)
            : m_options(options)
            , m_random(options.seed)
        {
            makeArrivals();
            if (options.oversizedGang)
                addJob(begin, options.workers + 1, acceleratorsPerWorker, true, std::chrono::seconds(10), 0);
            std::stable_sort(m_jobs.begin(), m_jobs.end(),
                [](const Job& a, const Job& b) { return a.unit.readySince < b.unit.readySince; });
            for (int worker = 0; worker < options.workers; ++worker)
                addWorker(worker);
        }

        BatchBypassResult run()
        {
            MonotonicTime end = begin + m_options.length + drainTime;
            for (MonotonicTime now = begin; now < end; now += planInterval) {
                endRuns(now);
                planRound(now);
                recordUtilisation(now);
            }
            return result();
        }

    private:
        /// Run of one job, which ends as a whole.
        struct Run {
            std::vector<std::size_t> workers;
            Resources resources;
            MonotonicTime end;
            std::size_t job = 0;
            bool backfilled = false;
        };

        void addWorker(int number)
        {
            std::string rack = "rack-" + std::to_string(number / workersPerRack);
            m_workers.push_back({
                .worker = { .id = state::WorkerId("worker-" + std::to_string(number)),
                    .service = state::ServiceId("service"),
                    .capacity = wholeWorker,
                    .labels = { rack },
                    .rack = rack },
                .free = wholeWorker,
                .freeAfterStops = wholeWorker,
            });
        }

        void addJob(MonotonicTime arrival, int tasks, std::int64_t accelerators, bool gang, milliseconds runTime,
            int priority = 1)
        {
            BatchUnit unit {
                .job = state::JobId("job-" + std::to_string(m_jobs.size())),
                .account = state::AccountId("account"),
                .resources = { .milliCores = accelerators * 1'000,
                    .memoryMegabytes = accelerators * 1'000,
                    .accelerators = accelerators },
                .gang = gang,
                .service = state::ServiceId("service"),
                .priority = priority,
                .deadline = arrival + 2 * runTime + milliseconds(1'000),
                .hardDeadline = arrival + 3 * (2 * runTime + milliseconds(1'000)),
                .readySince = arrival,
                .estimate = runTime,
                .runTime = runTime,
            };
            for (int index = 0; index < tasks; ++index)
                unit.indices.push_back(index);
            m_jobs.push_back({ .unit = std::move(unit), .runTime = runTime });
        }

        void makeArrivals()
        {
            double gangWork = 0;
            for (MonotonicTime time = begin + gangInterval; time < begin + m_options.length; time += gangInterval) {
                std::uniform_int_distribution<int> size(m_options.workers / 6, m_options.workers / 2);
                int tasks = size(m_random);
                addJob(time, tasks, acceleratorsPerWorker, true, gangRunTime);
                gangWork += static_cast<double>(tasks * acceleratorsPerWorker) * seconds(gangRunTime);
            }
            // The small jobs make up the rest of the load.
            double work = m_options.load * seconds(m_options.length)
                    * static_cast<double>(m_options.workers * acceleratorsPerWorker)
                - gangWork;
            std::uniform_int_distribution<int> accelerators(1, 4);
            std::uniform_int_distribution<int> runTime(1'000, 6'000);
            std::uniform_int_distribution<std::int64_t> arrival(0, milliseconds(m_options.length).count());
            while (work > 0) {
                int count = accelerators(m_random);
                milliseconds time { runTime(m_random) };
                addJob(begin + milliseconds(arrival(m_random)), 1, count, false, time);
                work -= count * seconds(time);
            }
        }

        static double seconds(milliseconds duration) { return std::chrono::duration<double>(duration).count(); }

        void endRuns(MonotonicTime now)
        {
            std::erase_if(m_runs, [&](const Run& run) {
                if (run.end > now)
                    return false;
                for (std::size_t worker : run.workers) {
                    m_workers[worker].free += run.resources;
                    m_workers[worker].freeAfterStops += run.resources;
                }
                return true;
            });
        }

        void planRound(MonotonicTime now)
        {
            PlanInput input { .workers = m_workers, .now = now };
            std::vector<std::size_t> jobs;
            for (std::size_t job = 0; job < m_jobs.size() && m_jobs[job].unit.readySince <= now; ++job) {
                if (m_jobs[job].started)
                    continue;
                input.units.push_back(m_jobs[job].unit);
                jobs.push_back(job);
            }
            if (m_options.lending)
                addRuns(input);
            std::map<std::size_t, std::vector<std::size_t>> starts;
            std::set<std::size_t> backfilled;
            m_aging.recordWaiting(input.units, now);
            input.aging = m_aging;
            BatchPlanner planner({}, std::move(input));
            BatchPlan plan = planner.plan();
            m_aging.recordSelection(planner.units(), plan.preferred, now);
            for (const coordination::batch::Placement& placement : plan.placements)
                starts[jobs[placement.unit]].push_back(placement.worker);
            for (const coordination::batch::Placement& placement : plan.placements) {
                if (placement.backfilled)
                    backfilled.insert(jobs[placement.unit]);
            }
            recordDelays(plan, jobs, now);
            stopRuns(plan);
            for (auto& [job, workers] : starts)
                start(job, std::move(workers), now, backfilled.contains(job));
        }

        /// Tells the planner what runs and until when, so that it lends reserved capacity.
        void addRuns(PlanInput& input) const
        {
            for (std::size_t index = 0; index < m_runs.size(); ++index) {
                const Run& run = m_runs[index];
                input.groups.push_back({ .priority = m_jobs[run.job].unit.priority, .backfilled = run.backfilled });
                for (std::size_t worker : run.workers)
                    input.workers[worker].runs.push_back({ .group = index,
                        .resources = run.resources,
                        .expectedEnd = run.end,
                        .backfilled = run.backfilled });
            }
        }

        void recordDelays(const BatchPlan& plan, const std::vector<std::size_t>& jobs, MonotonicTime now)
        {
            for (std::size_t unit = 0; unit < jobs.size(); ++unit) {
                std::optional<MonotonicTime>& since = m_jobs[jobs[unit]].unit.delayedSince;
                since = plan.delayed.contains(unit) ? std::optional(since.value_or(now)) : std::nullopt;
            }
        }

        /// A run that is stopped starts anew later.
        void stopRuns(const BatchPlan& plan)
        {
            std::set<std::size_t> stopped;
            for (const coordination::batch::Preemption& preemption : plan.preemptions)
                stopped.insert(preemption.group);
            for (std::size_t index : stopped) {
                m_jobs[m_runs[index].job].started = false;
                m_runs[index].end = {};
                ++m_result.stopped;
            }
        }

        void start(std::size_t index, std::vector<std::size_t> workers, MonotonicTime now, bool backfilled)
        {
            Job& job = m_jobs[index];
            job.started = true;
            m_aging.recordStart({ job.unit.job, job.unit.occurrence, job.unit.step }, job.runTime, now);
            const Resources& resources = job.unit.resources;
            for (std::size_t worker : workers) {
                m_workers[worker].free -= resources;
                m_workers[worker].freeAfterStops -= resources;
            }
            m_runs.push_back({ .workers = std::move(workers),
                .resources = resources,
                .end = now + job.runTime,
                .job = index,
                .backfilled = backfilled });
            auto wait = std::chrono::duration_cast<milliseconds>(now - job.unit.readySince);
            if (job.unit.gang) {
                m_result.longestGangWait = std::max(m_result.longestGangWait, wait);
                m_result.largestBypass = std::max(m_result.largestBypass, m_bypasses[index]);
                return;
            }
            m_result.longestSmallWait = std::max(m_result.longestSmallWait, wait);
            m_smallWaits += wait;
            ++m_smallStarts;
            for (std::size_t earlier = 0; earlier < index; ++earlier) {
                if (!m_jobs[earlier].started && m_jobs[earlier].unit.gang)
                    ++m_bypasses[earlier];
            }
        }

        void recordUtilisation(MonotonicTime now)
        {
            if (now >= begin + m_options.length)
                return;
            std::int64_t free = 0;
            for (const auto& worker : m_workers)
                free += worker.free.accelerators;
            m_utilisation
                += 1 - static_cast<double>(free) / static_cast<double>(m_options.workers * acceleratorsPerWorker);
            ++m_rounds;
        }

        BatchBypassResult result()
        {
            for (const Job& job : m_jobs) {
                m_result.started += job.started ? 1 : 0;
                m_result.arrived += job.unit.priority == 0 ? 0 : 1;
            }
            m_result.meanSmallWait = m_smallWaits / std::max(1, m_smallStarts);
            m_result.utilisation = m_utilisation / m_rounds;
            return m_result;
        }

        BatchBypassOptions m_options;
        std::mt19937 m_random;
        /// By arrival.
        std::vector<Job> m_jobs;
        std::vector<coordination::batch::WorkerView> m_workers;
        std::vector<Run> m_runs;
        coordination::batch::ServiceAging m_aging;
        /// Small jobs that started before a gang that arrived earlier, by gang.
        std::map<std::size_t, int> m_bypasses;
        milliseconds m_smallWaits { 0 };
        int m_smallStarts = 0;
        double m_utilisation = 0;
        int m_rounds = 0;
        BatchBypassResult m_result;
    };

} // namespace

BatchBypassResult simulateBatchBypass(const BatchBypassOptions& options)
{
    return Simulation(options).run();
}

void runBatchBypassBench(std::uint32_t firstSeed, int seeds, double load, std::ostream& output)
{
    output << "| seed | oversized gang | lending | stopped | started, of | utilisation | longest wait of a gang, s | "
              "largest bypass "
              "| mean wait of a small job, s | longest, s |\n|---|---|---|---|---|---|---|---|---|---|\n";
    auto seconds = [](milliseconds duration) { return std::chrono::duration<double>(duration).count(); };
    for (std::uint32_t seed = firstSeed; seed < firstSeed + static_cast<std::uint32_t>(seeds); ++seed) {
        for (auto [oversized, lending] : { std::pair(false, false), std::pair(true, false), std::pair(false, true) }) {
            BatchBypassResult result
                = simulateBatchBypass({ .seed = seed, .load = load, .oversizedGang = oversized, .lending = lending });
            output << std::fixed << std::setprecision(2) << "| " << seed << " | " << (oversized ? "yes" : "no") << " | "
                   << (lending ? "yes" : "no") << " | " << result.stopped << " | " << result.started << ", "
                   << result.arrived << " | " << result.utilisation << " | " << seconds(result.longestGangWait) << " | "
                   << result.largestBypass << " | " << seconds(result.meanSmallWait) << " | "
                   << seconds(result.longestSmallWait) << " |\n";
        }
    }
}

} // namespace lentilsaddle::bench
