#include "bench/WorkerSpeedBench.h"

#include "coordination/decisions/batch/WorkerSpeedModel.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lentilsaddle::bench {

using coordination::batch::WorkerSpeedModel;
using coordination::batch::WorkerSpeedSample;
using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

    constexpr int workerCount = 350;
    constexpr std::array runsPerWorker { 1, 2, 3, 5, 10 };
    /// Spread of the run times of siblings, of the estimates, and the rare long task.
    constexpr double siblingSpread = 0.2;
    constexpr double estimateSpread = 0.5;
    constexpr double longShare = 0.03;
    constexpr double longFactor = 7;
    constexpr double slowFrom = 1.2;

    /// Mean ratio of run time to estimate, for comparison.
    class EstimateRatios {
    public:
        void record(int worker, double ratio)
        {
            add(m_all, ratio);
            add(m_workers[worker], ratio - m_all.logarithm);
        }

        double logarithm(int worker) const
        {
            auto found = m_workers.find(worker);
            return found == m_workers.end() || found->second.samples < 4 ? 0 : found->second.logarithm;
        }

    private:
        struct Mean {
            double logarithm = 0;
            int samples = 0;
        };

        static void add(Mean& mean, double sample)
        {
            ++mean.samples;
            mean.logarithm += std::max(0.15, 1.0 / mean.samples) * (sample - mean.logarithm);
        }

        Mean m_all;
        std::map<int, Mean> m_workers;
    };

    struct Result {
        double error = 0;
        double found = 0;
        double mistaken = 0;
    };

    Result judge(const std::vector<double>& speeds, const std::vector<double>& estimates)
    {
        double offset = 0;
        for (std::size_t worker = 0; worker < speeds.size(); ++worker)
            offset += (estimates[worker] - std::log(speeds[worker])) / static_cast<double>(speeds.size());
        Result result;
        double slow = 0;
        double others = 0;
        for (std::size_t worker = 0; worker < speeds.size(); ++worker) {
            double error = estimates[worker] - offset - std::log(speeds[worker]);
            result.error += error * error / static_cast<double>(speeds.size());
            bool isSlow = speeds[worker] > slowFrom;
            (isSlow ? slow : others) += 1;
            bool saidSlow = estimates[worker] > std::log(slowFrom);
            (isSlow ? result.found : result.mistaken) += saidSlow ? 1 : 0;
        }
        result.error = std::sqrt(result.error);
        result.found = slow > 0 ? result.found / slow : 0;
        result.mistaken = others > 0 ? result.mistaken / others : 0;
        return result;
    }

    std::vector<std::pair<Result, Result>> simulate(std::uint32_t seed, const std::vector<double>& kinds)
    {
        std::mt19937 random(seed);
        std::vector<double> speeds;
        speeds.reserve(workerCount);
        for (int worker = 0; worker < workerCount; ++worker)
            speeds.push_back(kinds[random() % kinds.size()]);
        WorkerSpeedModel model;
        EstimateRatios ratios;
        std::normal_distribution<double> siblings(0, siblingSpread);
        std::normal_distribution<double> estimates(0, estimateSpread);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::uniform_int_distribution<int> widths(2, 12);
        MonotonicTime now { std::chrono::seconds(1'000) };
        std::vector<std::pair<Result, Result>> results;
        int runs = 0;
        for (int job = 0; results.size() < runsPerWorker.size(); ++job) {
            double wrong = std::exp(estimates(random));
            int width = widths(random);
            for (int task = 0; task < width; ++task) {
                int worker = static_cast<int>(random() % workerCount);
                double ratio = wrong * std::exp(siblings(random)) * speeds[static_cast<std::size_t>(worker)]
                    * (uniform(random) < longShare ? longFactor : 1);
                ratios.record(worker, std::log(ratio));
                model.recordRate(
                    {
                        .worker = state::WorkerId(std::to_string(worker)),
                        .siblings = { state::JobId(std::to_string(job)), 0, 0, 1 },
                        .siblingCount = width,
                        .queue = "q",
                        .elapsed = milliseconds(static_cast<int>(ratio * 2'000)),
                        .percent = 100,
                        .estimate = milliseconds(2'000),
                    },
                    now);
                ++runs;
            }
            now += milliseconds(20);
            if (runs < runsPerWorker[results.size()] * workerCount)
                continue;
            model.judgeSpread(now);
            std::vector<double> learned;
            std::vector<double> compared;
            for (int worker = 0; worker < workerCount; ++worker) {
                learned.push_back(std::log(model.relativeRunTime(state::WorkerId(std::to_string(worker)), 0, now)));
                compared.push_back(ratios.logarithm(worker));
            }
            results.emplace_back(judge(speeds, learned), judge(speeds, compared));
        }
        return results;
    }

    void writeTable(const std::string& title, const std::vector<double>& kinds, const WorkerSpeedBenchOptions& options,
        std::ostream& output)
    {
        std::vector<std::pair<Result, Result>> sums(runsPerWorker.size());
        auto add = [&](Result& sum, const Result& result) {
            sum.error += result.error / options.seeds;
            sum.found += result.found / options.seeds;
            sum.mistaken += result.mistaken / options.seeds;
        };
        for (int seed = 0; seed < options.seeds; ++seed) {
            auto results = simulate(options.firstSeed + static_cast<std::uint32_t>(seed), kinds);
            for (std::size_t row = 0; row < results.size(); ++row) {
                add(sums[row].first, results[row].first);
                add(sums[row].second, results[row].second);
            }
        }
        output << "\n"
               << title << "\n\n"
               << "| runs a worker | error, siblings | error, estimates | slow found, siblings | slow found, estimates "
                  "| others taken for slow, siblings | the same, estimates |\n"
               << "| --- | --- | --- | --- | --- | --- | --- |\n"
               << std::fixed << std::setprecision(2);
        for (std::size_t row = 0; row < sums.size(); ++row) {
            const auto& [learned, compared] = sums[row];
            output << "| " << runsPerWorker[row] << " | " << learned.error << " | " << compared.error << " | "
                   << learned.found << " | " << compared.found << " | " << learned.mistaken << " | "
                   << compared.mistaken << " |\n";
        }
    }

} // namespace

void runWorkerSpeedBench(const WorkerSpeedBenchOptions& options, std::ostream& output)
{
    writeTable("Run times of 0.6, 1.0 and 1.6", { 0.6, 1.0, 1.6 }, options, output);
    writeTable("A tenth at 2.0", { 1, 1, 1, 1, 1, 1, 1, 1, 1, 2 }, options, output);
    writeTable("Equal workers", { 1.0 }, options, output);
}

} // namespace lentilsaddle::bench
