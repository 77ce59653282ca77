#include "bench/PreemptionBench.h"

#include "coordination/decisions/batch/BatchPlanner.h"
#include "coordination/decisions/batch/UnsavedWork.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::bench {

using coordination::batch::BatchPlan;
using coordination::batch::BatchPlanner;
using coordination::batch::BatchUnit;
using coordination::batch::PlanInput;
using coordination::batch::WorkerView;
using state::MonotonicTime;
using state::batch::Resources;
using std::chrono::milliseconds;

namespace {

    constexpr int workersPerRack = 12;
    constexpr std::int64_t acceleratorsPerWorker = 8;
    constexpr Resources wholeWorker { .milliCores = 32'000, .memoryMegabytes = 131'072, .accelerators = 8 };
    constexpr milliseconds planInterval { 25 };
    /// Urgent gangs arrive at this rate in a wave, and at a fifth of it between two waves.
    constexpr milliseconds urgentInterval { 120 };
    constexpr milliseconds wavePeriod { 11'000 };
    constexpr milliseconds waveLength { 4'000 };
    /// Time for which the simulation goes on after the last arrival.
    constexpr milliseconds drainTime { 40'000 };
    constexpr MonotonicTime begin { std::chrono::seconds(1'000) };
    const state::ServiceId service { "service" };

    double seconds(MonotonicTime::duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    struct Job {
        BatchUnit unit;
        milliseconds runTime { 0 };
        /// Tasks that wait for a start.
        std::vector<int> waiting;
        int tasks = 0;
        std::map<int, int> stops;
        int done = 0;
        MonotonicTime lastStart {};
        MonotonicTime completed {};
    };

    /// Run of a task on a worker.
    struct Run {
        std::size_t job = 0;
        int task = 0;
        std::size_t worker = 0;
        MonotonicTime since {};
        MonotonicTime end {};
        bool stopping = false;
    };

    class Simulation {
    public:
        explicit Simulation(const PreemptionBenchOptions& options)
            : m_options(options)
            , m_random(options.seed)
        {
            for (int worker = 0; worker < options.workers; ++worker)
                addWorker(worker);
            addArrivals();
        }

        PreemptionBenchResult run()
        {
            MonotonicTime end = begin + m_options.length + drainTime;
            for (MonotonicTime now = begin; now < end; now += planInterval) {
                endRuns(now);
                planRound(now);
            }
            return result();
        }

    private:
        void addWorker(int number)
        {
            std::string rack = "rack-" + std::to_string(number / workersPerRack);
            m_workers.push_back({ .id = state::WorkerId("worker-" + std::to_string(number)),
                .service = service,
                .capacity = wholeWorker,
                .labels = { rack },
                .rack = rack });
        }

        int draw(int lowest, int highest) { return std::uniform_int_distribution<int>(lowest, highest)(m_random); }

        /// @return work of the job in accelerator-seconds.
        double addJob(MonotonicTime arrival, int tasks, std::int64_t accelerators, milliseconds runTime, int priority)
        {
            auto objective = runTime * 3 / 2 + milliseconds(250);
            BatchUnit unit {
                .job = state::JobId("job-" + std::to_string(m_jobs.size())),
                .account = state::AccountId("account-" + std::to_string(m_jobs.size() % 4)),
                .resources = { .milliCores = accelerators * 3'000,
                    .memoryMegabytes = accelerators * 8'000,
                    .accelerators = accelerators },
                .gang = priority < 2,
                .sameRack = priority == 0,
                .service = service,
                .priority = priority,
                .deadline = arrival + objective,
                .hardDeadline = arrival + 3 * objective,
                .readySince = arrival,
                .estimate = runTime,
                .valueDensity = 1.0 / (tasks * static_cast<double>(accelerators) * seconds(runTime)),
            };
            Job job { .unit = std::move(unit), .runTime = runTime, .tasks = tasks };
            for (int task = 0; task < tasks; ++task)
                job.waiting.push_back(task);
            m_jobs.push_back(std::move(job));
            return tasks * static_cast<double>(accelerators) * seconds(runTime);
        }

        void addArrivals()
        {
            double work = m_options.load * seconds(m_options.length) * m_options.workers * acceleratorsPerWorker;
            int number = 0;
            for (MonotonicTime time = begin; time < begin + m_options.length; time += urgentInterval) {
                bool wave = (time - begin) % wavePeriod < waveLength;
                if (wave || ++number % 5 == 0)
                    work -= addJob(time, draw(1, 6), acceleratorsPerWorker, milliseconds(draw(1'000, 3'500)), 0);
            }
            while (work > 0) {
                MonotonicTime time
                    = begin + milliseconds(draw(0, static_cast<int>(milliseconds(m_options.length).count())));
                if (draw(0, 1) == 0)
                    work -= addJob(time, draw(4, 20), draw(1, 4), milliseconds(draw(5'000, 11'000)), 1);
                else
                    work -= addJob(time, draw(10, 60), 1, milliseconds(draw(3'000, 9'000)), 2);
            }
        }

        void endRuns(MonotonicTime now)
        {
            std::erase_if(m_runs, [&](const Run& run) {
                if (run.end > now)
                    return false;
                Job& job = m_jobs[run.job];
                if (run.stopping) {
                    job.waiting.push_back(run.task);
                    std::sort(job.waiting.begin(), job.waiting.end());
                } else if (++job.done == job.tasks) {
                    job.completed = now;
                }
                return true;
            });
        }

        PlanInput makeInput(
            MonotonicTime now, std::vector<std::size_t>& jobs, std::vector<std::vector<std::size_t>>& groups)
        {
            PlanInput input { .now = now, .holds = m_options.hold ? m_holds : decltype(m_holds) {} };
            for (const auto& worker : m_workers)
                input.workers.push_back({ .worker = worker, .free = wholeWorker, .freeAfterStops = wholeWorker });
            std::map<std::pair<std::size_t, int>, std::size_t> groupOf;
            for (std::size_t index = 0; index < m_runs.size(); ++index) {
                const Run& run = m_runs[index];
                const BatchUnit& unit = m_jobs[run.job].unit;
                auto [group, added] = groupOf.try_emplace({ run.job, unit.gang ? -1 : run.task }, groups.size());
                if (added)
                    groups.emplace_back();
                groups[group->second].push_back(index);
                WorkerView& view = input.workers[run.worker];
                view.runs.push_back({ .group = group->second, .resources = unit.resources, .stopping = run.stopping });
                view.free -= unit.resources;
                if (!run.stopping)
                    view.freeAfterStops -= unit.resources;
            }
            for (const std::vector<std::size_t>& group : groups)
                input.groups.push_back(
                    { .priority = m_jobs[m_runs[group.front()].job].unit.priority, .loss = lossOf(group, now) });
            for (std::size_t index = 0; index < m_jobs.size(); ++index) {
                Job& job = m_jobs[index];
                bool whole = !job.unit.gang
                    || std::none_of(m_runs.begin(), m_runs.end(), [&](const Run& run) { return run.job == index; });
                if (job.waiting.empty() || job.unit.readySince > now || !whole)
                    continue;
                job.unit.indices = job.waiting;
                input.units.push_back(job.unit);
                jobs.push_back(index);
            }
            return input;
        }

        double lossOf(const std::vector<std::size_t>& group, MonotonicTime now) const
        {
            double lost = 0;
            for (std::size_t index : group) {
                const Run& run = m_runs[index];
                lost += coordination::batch::workLostByStop(
                    { .resources = m_jobs[run.job].unit.resources, .since = run.since }, now);
            }
            return lost;
        }

        void planRound(MonotonicTime now)
        {
            std::vector<std::size_t> jobs;
            std::vector<std::vector<std::size_t>> groups;
            PlanInput input = makeInput(now, jobs, groups);
            if (input.units.empty())
                return;
            BatchPlan plan = BatchPlanner({}, std::move(input)).plan();
            m_holds = plan.holds;
            for (const coordination::batch::Preemption& preemption : plan.preemptions) {
                for (std::size_t run : groups[preemption.group])
                    stop(m_runs[run], now);
            }
            for (const coordination::batch::Placement& placement : plan.placements)
                start(jobs[placement.unit], placement.index, placement.worker, now);
        }

        void stop(Run& run, MonotonicTime now)
        {
            if (run.stopping)
                return;
            run.stopping = true;
            Job& job = m_jobs[run.job];
            m_lostWork += coordination::batch::weightedCores(job.unit.resources) * seconds(now - run.since);
            ++m_result.stoppedRuns;
            m_result.mostStops = std::max(m_result.mostStops, ++job.stops[run.task]);
            run.end = now + milliseconds(draw(100, 400));
        }

        void start(std::size_t index, int task, std::size_t worker, MonotonicTime now)
        {
            Job& job = m_jobs[index];
            std::erase(job.waiting, task);
            job.lastStart = now;
            m_runs.push_back({ .job = index, .task = task, .worker = worker, .since = now, .end = now + job.runTime });
        }

        PreemptionBenchResult result()
        {
            double work = m_lostWork;
            std::array<milliseconds, PreemptionBenchResult::priorities> sums {};
            std::array<int, PreemptionBenchResult::priorities> completed {};
            for (const Job& job : m_jobs) {
                auto priority = static_cast<std::size_t>(job.unit.priority);
                work += coordination::batch::weightedCores(job.unit.resources) * job.done * seconds(job.runTime);
                if (job.completed == MonotonicTime {}) {
                    ++m_result.incomplete[priority];
                    continue;
                }
                sums[priority] += std::chrono::duration_cast<milliseconds>(job.completed - job.unit.readySince);
                ++completed[priority];
                auto wait = std::chrono::duration_cast<milliseconds>(job.lastStart - job.unit.readySince);
                if (priority == 0)
                    m_result.longestUrgentWait = std::max(m_result.longestUrgentWait, wait);
            }
            for (std::size_t priority = 0; priority < sums.size(); ++priority)
                m_result.meanCompletion[priority] = sums[priority] / std::max(1, completed[priority]);
            m_result.lostShare = work > 0 ? m_lostWork / work : 0;
            return m_result;
        }

        PreemptionBenchOptions m_options;
        std::mt19937 m_random;
        std::vector<Job> m_jobs;
        std::vector<state::batch::BatchWorker> m_workers;
        std::vector<Run> m_runs;
        std::vector<coordination::batch::CapacityHold> m_holds;
        double m_lostWork = 0;
        PreemptionBenchResult m_result;
    };

} // namespace

PreemptionBenchResult simulatePreemption(const PreemptionBenchOptions& options)
{
    return Simulation(options).run();
}

void runPreemptionBench(std::uint32_t firstSeed, int seeds, double load, std::ostream& output)
{
    output << "| seed | freed capacity | runs stopped | most stops of a task | work lost, % | longest wait of an "
              "urgent gang, s "
              "| mean completion by priority, s | incomplete by priority |\n|---|---|---|---|---|---|---|---|\n";
    for (std::uint32_t seed = firstSeed; seed < firstSeed + static_cast<std::uint32_t>(seeds); ++seed) {
        for (bool hold : { false, true }) {
            PreemptionBenchResult result = simulatePreemption({ .seed = seed, .load = load, .hold = hold });
            output << std::fixed << std::setprecision(1) << "| " << seed << " | " << (hold ? "held" : "not held")
                   << " | " << result.stoppedRuns << " | " << result.mostStops << " | " << 100 * result.lostShare
                   << " | " << seconds(result.longestUrgentWait) << " |";
            for (milliseconds completion : result.meanCompletion)
                output << ' ' << seconds(completion);
            output << " |";
            for (int incomplete : result.incomplete)
                output << ' ' << incomplete;
            output << " |\n";
        }
    }
}

} // namespace lentilsaddle::bench
