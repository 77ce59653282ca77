#include "bench/OwnershipBench.h"

#include "bench/Arrivals.h"
#include "coordination/decisions/AcceleratorPicker.h"
#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GangFit.h"
#include "coordination/decisions/Rendezvous.h"
#include "state/PlacementState.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lentilsaddle::bench {

namespace {

    using coordination::AcceleratorCounts;
    using coordination::ClusterView;

    constexpr std::array<int, 4> ownerCounts { 1, 2, 3, 6 };
    constexpr std::array<int, 2> gangSizes { 64, 32 };
    /// Arrivals of the background load per gang that is evaluated.
    constexpr int arrivalsPerGang = 10;
    /// Number of assignments of racks to owners over which the shares are averaged; each uses other instance names.
    constexpr int ownerNameSets = 20;

    struct GangKey {
        int tasks = 0;
        int acceleratorsPerTask = 0;
        auto operator<=>(const GangKey&) const = default;
    };

    struct Counts {
        int trials = 0;
        /// Trials in which an owner can place the gang, by number of owners.
        std::map<int, int> placeable;
    };

    /// Simulates arrivals under best fit and evaluates all numbers of owners on the same allocations.
    class OwnershipRun {
    public:
        OwnershipRun(std::uint32_t seed, double load)
            : m_random(seed)
            , m_arrivals(makeArrivals({ .seed = seed, .load = load }))
        {
            m_placement.setWorkers(siteWorkers());
        }

        void run(std::map<GangKey, Counts>& counts)
        {
            int arrivalsSinceGang = 0;
            for (const Arrival& arrival : m_arrivals) {
                while (!m_completions.empty() && m_completions.begin()->first <= arrival.time) {
                    m_placement.release(m_completions.begin()->second);
                    m_completions.erase(m_completions.begin());
                }
                if (arrival.size != SizeClass::Large)
                    start(arrival, arrival.specification.shape);
                if (++arrivalsSinceGang < arrivalsPerGang)
                    continue;
                arrivalsSinceGang = 0;
                state::GangShape gang { .tasks = gangSizes[m_random() % gangSizes.size()],
                    .acceleratorsPerTask = 1 << (m_random() % 3),
                    .adjacency = state::Adjacency::DataCentre };
                evaluate(gang, counts);
                Arrival gangArrival = arrival;
                gangArrival.specification.id = state::JobId("gang-" + arrival.specification.id.value());
                start(gangArrival, gang);
            }
        }

    private:
        void start(const Arrival& arrival, const state::GangShape& shape)
        {
            ClusterView view(m_placement);
            auto fit = coordination::bestGangFit(view, shape, view.freeAccelerators());
            if (!fit)
                return;
            const state::JobSpecification& specification = arrival.specification;
            m_placement.allocate(
                specification.id, specification.account, coordination::AcceleratorPicker(view).pick(fit->tasks));
            m_completions.emplace(arrival.time + arrival.runTime, specification.id);
        }

        void evaluate(const state::GangShape& gang, std::map<GangKey, Counts>& counts) const
        {
            ClusterView view(m_placement);
            Counts& gangCounts = counts[{ gang.tasks, gang.acceleratorsPerTask }];
            for (int nameSet = 0; nameSet < ownerNameSets; ++nameSet) {
                ++gangCounts.trials;
                for (int owners : ownerCounts)
                    gangCounts.placeable[owners] += anyOwnerCanPlace(view, gang, owners, nameSet) ? 1 : 0;
            }
        }

        static bool anyOwnerCanPlace(const ClusterView& view, const state::GangShape& gang, int owners, int nameSet)
        {
            std::vector<state::InstanceId> instances;
            instances.reserve(static_cast<std::size_t>(owners));
            for (int i = 0; i < owners; ++i)
                instances.emplace_back("entry-" + std::to_string(nameSet) + "-" + std::to_string(i));
            std::map<state::InstanceId, AcceleratorCounts> freeByOwner;
            for (const std::vector<int>& rack : view.racks()) {
                const state::RackId& id = view.workers()[static_cast<std::size_t>(rack.front())].slots->worker.rack;
                AcceleratorCounts& free = freeByOwner[coordination::rendezvousOrder(instances, id.value()).front()];
                free.resize(view.workers().size());
                for (int worker : rack)
                    free[static_cast<std::size_t>(worker)] = view.freeAccelerators()[static_cast<std::size_t>(worker)];
            }
            return std::any_of(freeByOwner.begin(), freeByOwner.end(),
                [&](const auto& entry) { return coordination::bestGangFit(view, gang, entry.second).has_value(); });
        }

        std::mt19937 m_random;
        std::vector<Arrival> m_arrivals;
        state::PlacementState m_placement;
        std::multimap<state::MonotonicTime, state::JobId> m_completions;
    };

} // namespace

void runOwnershipBench(const OwnershipBenchOptions& options, std::ostream& output)
{
    std::map<GangKey, Counts> counts;
    for (int i = 0; i < options.seeds; ++i)
        OwnershipRun(options.firstSeed + static_cast<std::uint32_t>(i), options.load).run(counts);
    output << "| gang | gangs | one view, % | 2 owners, % | 3 owners, % | 6 owners, % |\n|---|---|---|---|---|---|\n"
           << std::fixed << std::setprecision(1);
    for (const auto& [gang, gangCounts] : counts) {
        output << "| " << gang.tasks << " x " << gang.acceleratorsPerTask << " | " << gangCounts.trials / ownerNameSets;
        for (int owners : ownerCounts)
            output << " | " << 100.0 * gangCounts.placeable.at(owners) / gangCounts.trials;
        output << " |\n";
    }
}

} // namespace lentilsaddle::bench
