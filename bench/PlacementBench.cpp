#include "bench/PlacementBench.h"

#include "bench/FirstFit.h"
#include "bench/PlacementSimulation.h"
#include "coordination/decisions/BestFitPlacement.h"
#include "coordination/decisions/CellPlacement.h"
#include "coordination/decisions/GreedyBackfillPlacement.h"
#include "coordination/decisions/StrictFifoPlacement.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>

namespace lentilsaddle::bench {

namespace {

    using std::chrono::milliseconds;

    constexpr SizeClass sizeClasses[] { SizeClass::Small, SizeClass::Medium, SizeClass::Large };

    /// Results of one policy over all seeds.
    struct Summary {
        std::string name;
        SimulationResult total;
        int runs = 0;

        void add(const SimulationResult& result)
        {
            ++runs;
            auto append = [](auto& to, const auto& from) { to.insert(to.end(), from.begin(), from.end()); };
            for (SizeClass size : sizeClasses) {
                if (auto found = result.completion.find(size); found != result.completion.end())
                    append(total.completion[size], found->second);
                if (auto found = result.longestWait.find(size); found != result.longestWait.end())
                    total.longestWait[size] = std::max(total.longestWait[size], found->second);
            }
            append(total.urgentWait, result.urgentWait);
            append(total.urgentReclaim, result.urgentReclaim);
            append(total.reclaim, result.reclaim);
            total.preemptions += result.preemptions;
            total.largestBypass = std::max(total.largestBypass, result.largestBypass);
            total.largestFreeShape += result.largestFreeShape;
            total.unusableShare += result.unusableShare;
        }
    };

    double minutes(milliseconds time)
    {
        return std::chrono::duration<double, std::ratio<60>>(time).count();
    }

    double meanMinutes(const std::vector<milliseconds>& values)
    {
        auto sum = std::accumulate(values.begin(), values.end(), milliseconds(0));
        return values.empty() ? 0 : minutes(sum) / static_cast<double>(values.size());
    }

    milliseconds percentile(std::vector<milliseconds> values, double share)
    {
        if (values.empty())
            return milliseconds(0);
        auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
        return values[rank];
    }

    double percentileSeconds(const std::vector<milliseconds>& values, double share)
    {
        return std::chrono::duration<double>(percentile(values, share)).count();
    }

    void writeCompletion(const std::vector<Summary>& summaries, std::ostream& output)
    {
        output << "| policy | class | jobs | mean, min | p95, min | p99, min | longest wait, min |\n"
               << "|---|---|---|---|---|---|---|\n";
        for (const Summary& summary : summaries) {
            for (SizeClass size : sizeClasses) {
                const auto& values = summary.total.completion.at(size);
                output << "| " << summary.name << " | " << toString(size) << " | " << values.size() << " | "
                       << meanMinutes(values) << " | " << minutes(percentile(values, 0.95)) << " | "
                       << minutes(percentile(values, 0.99)) << " | " << minutes(summary.total.longestWait.at(size))
                       << " |\n";
            }
        }
    }

    void writeFragmentation(const std::vector<Summary>& summaries, std::ostream& output)
    {
        output << "| policy | largest free adjacent shape, accelerators | free accelerators unusable for the largest "
                  "guaranteed shape, % | urgent reclaims | longest, s | other reclaims | p95, s | longest, s | urgent "
                  "wait p95, min | longest urgent wait, "
                  "min | "
                  "preemptions | largest bypass |\n"
               << "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
        for (const Summary& summary : summaries) {
            const SimulationResult& total = summary.total;
            output << "| " << summary.name << " | " << total.largestFreeShape / summary.runs << " | "
                   << 100 * total.unusableShare / summary.runs << " | " << total.urgentReclaim.size() << " | "
                   << percentileSeconds(total.urgentReclaim, 1) << " | " << total.reclaim.size() << " | "
                   << percentileSeconds(total.reclaim, 0.95) << " | " << percentileSeconds(total.reclaim, 1) << " | "
                   << minutes(percentile(total.urgentWait, 0.95)) << " | " << minutes(percentile(total.urgentWait, 1))
                   << " | " << total.preemptions << " | " << total.largestBypass << " |\n";
        }
    }

} // namespace

std::vector<NamedPolicy> comparedPolicies(int maximumBypass)
{
    return {
        { "cells, weight 0.8",
            coordination::makeCellPlacement({ .completionWeight = 0.8, .maximumBypass = maximumBypass }) },
        { "cells, weight 0.2",
            coordination::makeCellPlacement({ .completionWeight = 0.2, .maximumBypass = maximumBypass }) },
        { "first fit", firstFit() },
        { "best fit", coordination::bestFitPlacement() },
        { "strict FIFO", coordination::strictFifoPlacement() },
        { "greedy backfill", coordination::greedyBackfillPlacement() },
    };
}

void runPlacementBench(const PlacementBenchOptions& options, std::ostream& output)
{
    std::vector<Summary> summaries;
    for (const NamedPolicy& named : comparedPolicies(options.maximumBypass)) {
        Summary& summary = summaries.emplace_back();
        summary.name = named.name;
        for (int i = 0; i < options.seeds; ++i) {
            auto arrivals
                = makeArrivals({ .seed = options.firstSeed + static_cast<std::uint32_t>(i), .load = options.load });
            summary.add(PlacementSimulation(named.policy, std::move(arrivals)).run());
        }
    }
    output << std::fixed << std::setprecision(1);
    writeCompletion(summaries, output);
    output << '\n';
    writeFragmentation(summaries, output);
}

} // namespace lentilsaddle::bench
