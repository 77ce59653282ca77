#include "coordination/decisions/GangFit.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <tuple>

namespace lentilsaddle::coordination {

namespace {

    class Search {
    public:
        Search(const ClusterView& view, const state::GangShape& shape, const GangCapacity& room)
            : m_view(view)
            , m_shape(shape)
            , m_room(room)
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
                return std::tie(left.racks, left.excess, left.workerRest, left.rackRest)
                    < std::tie(right.racks, right.excess, right.workerRest, right.rackRest);
            });
            return std::move(m_fits);
        }

    private:
        int easy(int worker) const { return m_room.easy[static_cast<std::size_t>(worker)]; }
        int whole(int worker) const { return m_room.whole[static_cast<std::size_t>(worker)]; }
        int wholeTasks(int worker) const { return whole(worker) / m_shape.acceleratorsPerTask; }
        int wholeTasks(const std::vector<int>& rack) const
        {
            return std::accumulate(
                rack.begin(), rack.end(), 0, [this](int sum, int worker) { return sum + wholeTasks(worker); });
        }
        int easyRoom(const std::vector<int>& rack) const
        {
            return std::accumulate(
                rack.begin(), rack.end(), 0, [this](int sum, int worker) { return sum + easy(worker); });
        }

        void searchWorkers()
        {
            int needed = m_shape.accelerators();
            for (const std::vector<int>& rack : m_view.racks()) {
                int rackRoom = easyRoom(rack);
                for (int worker : rack) {
                    if (whole(worker) < needed)
                        continue;
                    GangFit fit { .tasks = {}, .racks = 1 };
                    fit.tasks.assign(static_cast<std::size_t>(m_shape.tasks),
                        { .worker = worker, .accelerators = m_shape.acceleratorsPerTask });
                    fit.excess = std::max(0, needed - easy(worker));
                    fit.workerRest = std::max(0, easy(worker) - needed);
                    fit.rackRest = std::max(0, rackRoom - needed);
                    m_fits.push_back(std::move(fit));
                }
            }
        }

        void searchRacks()
        {
            for (const std::vector<int>& rack : m_view.racks()) {
                if (wholeTasks(rack) < m_shape.tasks)
                    continue;
                GangFit fit;
                addRack(fit, rack, m_shape.tasks);
                m_fits.push_back(std::move(fit));
            }
        }

        /// Takes the racks with most room, and for the rest of the gang the rack that it fills best.
        void searchSeveralRacks()
        {
            std::vector<std::pair<int, const std::vector<int>*>> racks;
            int total = 0;
            for (const std::vector<int>& rack : m_view.racks()) {
                racks.emplace_back(wholeTasks(rack), &rack);
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

        /// Fills the easy room of the fullest workers first, then the room behind it.
        void addRack(GangFit& fit, const std::vector<int>& rack, int tasks)
        {
            std::vector<int> order = rack;
            std::stable_sort(
                order.begin(), order.end(), [this](int left, int right) { return easy(left) < easy(right); });
            std::vector<int> counts(order.size());
            int remaining = tasks;
            auto fill = [&](std::size_t i, int limit) {
                int count = std::clamp(limit - counts[i], 0, remaining);
                counts[i] += count;
                remaining -= count;
            };
            for (std::size_t i = 0; i < order.size(); ++i)
                fill(i, easy(order[i]) / m_shape.acceleratorsPerTask);
            for (std::size_t i = order.size(); i-- > 0;)
                fill(i, wholeTasks(order[i]));

            ++fit.racks;
            for (std::size_t i = 0; i < order.size(); ++i) {
                if (counts[i] == 0)
                    continue;
                int used = counts[i] * m_shape.acceleratorsPerTask;
                fit.tasks.insert(fit.tasks.end(), static_cast<std::size_t>(counts[i]),
                    { .worker = order[i], .accelerators = m_shape.acceleratorsPerTask });
                fit.excess += std::max(0, used - easy(order[i]));
                fit.workerRest += std::max(0, easy(order[i]) - used);
            }
            fit.rackRest += std::max(0, easyRoom(rack) - tasks * m_shape.acceleratorsPerTask);
        }

        const ClusterView& m_view;
        const state::GangShape& m_shape;
        const GangCapacity& m_room;
        std::vector<GangFit> m_fits;
    };

} // namespace

std::vector<GangFit> gangFits(const ClusterView& view, const state::GangShape& shape, const GangCapacity& room)
{
    return Search(view, shape, room).run();
}

std::optional<GangFit> bestGangFit(
    const ClusterView& view, const state::GangShape& shape, const AcceleratorCounts& room)
{
    std::vector<GangFit> fits = gangFits(view, shape, { .easy = room, .whole = room });
    if (fits.empty())
        return std::nullopt;
    return std::move(fits.front());
}

void subtract(AcceleratorCounts& room, const std::vector<GangTask>& tasks)
{
    for (const GangTask& task : tasks) {
        int& left = room[static_cast<std::size_t>(task.worker)];
        left = std::max(0, left - task.accelerators);
    }
}

} // namespace lentilsaddle::coordination
