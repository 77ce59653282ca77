#include "coordination/decisions/GangFit.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <tuple>

namespace lentilsaddle::coordination {

namespace {

    class GangFitSearch {
    public:
        GangFitSearch(const ClusterView& view, const state::GangShape& shape, const GangCapacity& capacity)
            : m_view(view)
            , m_shape(shape)
            , m_capacity(capacity)
        {
        }

        std::vector<GangFit> run()
        {
            if (m_shape.adjacency == state::Adjacency::Worker)
                searchWorkers();
            else
                searchRacks();
            if (m_fits.empty() && m_shape.adjacency == state::Adjacency::DataCentre)
                searchSeveralRacks();
            std::stable_sort(m_fits.begin(), m_fits.end(), [](const GangFit& left, const GangFit& right) {
                return std::tie(left.racks, left.excess, left.workerResidual, left.rackResidual)
                    < std::tie(right.racks, right.excess, right.workerResidual, right.rackResidual);
            });
            return std::move(m_fits);
        }

    private:
        int preferred(int worker) const { return m_capacity.preferred[static_cast<std::size_t>(worker)]; }
        int usable(int worker) const { return m_capacity.usable[static_cast<std::size_t>(worker)]; }
        int usableTasks(int worker) const { return usable(worker) / m_shape.acceleratorsPerTask; }
        int usableTasks(const std::vector<int>& rack) const
        {
            return std::accumulate(
                rack.begin(), rack.end(), 0, [this](int sum, int worker) { return sum + usableTasks(worker); });
        }
        int totalPreferred(const std::vector<int>& rack) const
        {
            return std::accumulate(
                rack.begin(), rack.end(), 0, [this](int sum, int worker) { return sum + preferred(worker); });
        }

        void searchWorkers()
        {
            int needed = m_shape.accelerators();
            for (const std::vector<int>& rack : m_view.racks()) {
                int rackPreferred = totalPreferred(rack);
                for (int worker : rack) {
                    if (usable(worker) < needed)
                        continue;
                    GangFit fit { .tasks = {}, .racks = 1 };
                    fit.tasks.assign(static_cast<std::size_t>(m_shape.tasks),
                        { .worker = worker, .accelerators = m_shape.acceleratorsPerTask });
                    fit.excess = std::max(0, needed - preferred(worker));
                    fit.workerResidual = std::max(0, preferred(worker) - needed);
                    fit.rackResidual = std::max(0, rackPreferred - needed);
                    m_fits.push_back(std::move(fit));
                }
            }
        }

        void searchRacks()
        {
            for (const std::vector<int>& rack : m_view.racks()) {
                if (usableTasks(rack) < m_shape.tasks)
                    continue;
                GangFit fit;
                addRack(fit, rack, m_shape.tasks);
                m_fits.push_back(std::move(fit));
            }
        }

        /// Uses the racks with the most usable tasks, and for the remaining tasks the smallest rack that holds them.
        void searchSeveralRacks()
        {
            std::vector<std::pair<int, const std::vector<int>*>> racks;
            int total = 0;
            for (const std::vector<int>& rack : m_view.racks()) {
                racks.emplace_back(usableTasks(rack), &rack);
                total += racks.back().first;
            }
            if (total < m_shape.tasks)
                return;
            std::stable_sort(racks.begin(), racks.end(),
                [](const auto& left, const auto& right) { return left.first < right.first; });
            GangFit fit;
            int remaining = m_shape.tasks;
            while (remaining > 0) {
                auto enough = std::find_if(
                    racks.begin(), racks.end(), [remaining](const auto& rack) { return rack.first >= remaining; });
                if (enough == racks.end())
                    enough = std::prev(racks.end());
                int tasks = std::min(remaining, enough->first);
                addRack(fit, *enough->second, tasks);
                remaining -= tasks;
                racks.erase(enough);
            }
            m_fits.push_back(std::move(fit));
        }

        /// Fills the preferred capacity first, starting with the fullest workers, then the other usable capacity.
        void addRack(GangFit& fit, const std::vector<int>& rack, int tasks)
        {
            std::vector<int> order = rack;
            std::stable_sort(
                order.begin(), order.end(), [this](int left, int right) { return preferred(left) < preferred(right); });
            std::vector<int> counts(order.size());
            int remaining = tasks;
            auto fill = [&](std::size_t i, int limit) {
                int count = std::clamp(limit - counts[i], 0, remaining);
                counts[i] += count;
                remaining -= count;
            };
            for (std::size_t i = 0; i < order.size(); ++i)
                fill(i, preferred(order[i]) / m_shape.acceleratorsPerTask);
            for (std::size_t i = order.size(); i-- > 0;)
                fill(i, usableTasks(order[i]));

            ++fit.racks;
            for (std::size_t i = 0; i < order.size(); ++i) {
                if (counts[i] == 0)
                    continue;
                int used = counts[i] * m_shape.acceleratorsPerTask;
                fit.tasks.insert(fit.tasks.end(), static_cast<std::size_t>(counts[i]),
                    { .worker = order[i], .accelerators = m_shape.acceleratorsPerTask });
                fit.excess += std::max(0, used - preferred(order[i]));
                fit.workerResidual += std::max(0, preferred(order[i]) - used);
            }
            fit.rackResidual += std::max(0, totalPreferred(rack) - tasks * m_shape.acceleratorsPerTask);
        }

        const ClusterView& m_view;
        const state::GangShape& m_shape;
        const GangCapacity& m_capacity;
        std::vector<GangFit> m_fits;
    };

} // namespace

std::vector<GangFit> gangFits(const ClusterView& view, const state::GangShape& shape, const GangCapacity& capacity)
{
    return GangFitSearch(view, shape, capacity).run();
}

std::optional<GangFit> bestGangFit(
    const ClusterView& view, const state::GangShape& shape, const AcceleratorCounts& capacity)
{
    std::vector<GangFit> fits = gangFits(view, shape, { .preferred = capacity, .usable = capacity });
    if (fits.empty())
        return std::nullopt;
    return std::move(fits.front());
}

void subtract(AcceleratorCounts& capacity, const std::vector<GangTask>& tasks)
{
    for (const GangTask& task : tasks) {
        int& remaining = capacity[static_cast<std::size_t>(task.worker)];
        remaining = std::max(0, remaining - task.accelerators);
    }
}

} // namespace lentilsaddle::coordination
