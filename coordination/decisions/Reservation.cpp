#include "coordination/decisions/Reservation.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    /// Assumed for jobs whose end nobody guessed, so that they rank behind all others.
    constexpr std::chrono::hours unknownRemainder { 24 };

    struct End {
        std::chrono::milliseconds delay { 0 };
        int worker = 0;
        int accelerators = 0;
    };

    class ReservationSearch {
    public:
        ReservationSearch(const ClusterView& view, const state::GangShape& shape, const GangCapacity& room)
            : m_view(view)
            , m_room(room.easy)
            , m_limit(room.whole)
            , m_shape(shape)
            , m_scratch(room.easy)
            , m_unit(shape.acceleratorsPerTask)
            , m_units(shape.tasks)
        {
            if (shape.adjacency == state::Adjacency::Worker) {
                m_unit = shape.accelerators();
                m_units = 1;
            }
        }

        std::optional<Reservation> run(state::MonotonicTime now)
        {
            std::vector<std::vector<End>> ends = endsByWorker(now);
            for (const std::vector<int>& region : regions())
                tryRegion(region, ends);
            if (!m_best)
                return std::nullopt;
            return reserve(ends);
        }

    private:
        struct Best {
            std::vector<int> region;
            std::chrono::milliseconds delay { 0 };
            int missing = 0;
        };

        std::vector<std::vector<End>> endsByWorker(state::MonotonicTime now) const
        {
            std::vector<std::vector<End>> ends(m_view.workers().size());
            for (const auto& job : m_view.jobs()) {
                std::chrono::milliseconds delay = unknownRemainder;
                if (job.occupant->stopping)
                    delay = std::chrono::milliseconds(0);
                else if (auto expected = job.occupant->options.expectedEnd)
                    delay = std::max(std::chrono::milliseconds(0),
                        std::chrono::duration_cast<std::chrono::milliseconds>(*expected - now));
                for (const GangTask& task : job.tasks) {
                    auto worker = static_cast<std::size_t>(task.worker);
                    if (m_limit[worker] > 0)
                        ends[worker].push_back(
                            { .delay = delay, .worker = task.worker, .accelerators = task.accelerators });
                }
            }
            return ends;
        }

        std::vector<std::vector<int>> regions() const
        {
            if (m_shape.adjacency == state::Adjacency::Rack)
                return m_view.racks();
            std::vector<int> all(m_view.workers().size());
            std::iota(all.begin(), all.end(), 0);
            if (m_shape.adjacency == state::Adjacency::DataCentre)
                return { all };
            std::vector<std::vector<int>> single;
            single.reserve(all.size());
            for (int worker : all)
                single.push_back({ worker });
            return single;
        }

        void tryRegion(const std::vector<int>& region, const std::vector<std::vector<End>>& endsByWorker)
        {
            std::vector<End> ends;
            int units = 0;
            int free = 0;
            for (int worker : region) {
                const auto& ofWorker = endsByWorker[static_cast<std::size_t>(worker)];
                ends.insert(ends.end(), ofWorker.begin(), ofWorker.end());
                units += m_room[static_cast<std::size_t>(worker)] / m_unit;
                free += m_room[static_cast<std::size_t>(worker)];
            }
            std::stable_sort(
                ends.begin(), ends.end(), [](const End& left, const End& right) { return left.delay < right.delay; });
            std::chrono::milliseconds delay { 0 };
            for (auto end = ends.begin(); units < m_units && end != ends.end(); ++end) {
                int& onWorker = m_scratch[static_cast<std::size_t>(end->worker)];
                units -= onWorker / m_unit;
                onWorker += end->accelerators;
                units += onWorker / m_unit;
                delay = end->delay;
            }
            for (int worker : region)
                m_scratch[static_cast<std::size_t>(worker)] = m_room[static_cast<std::size_t>(worker)];
            if (units < m_units)
                return;
            int missing = std::max(0, m_shape.accelerators() - free);
            if (!m_best || std::tie(delay, missing) < std::tie(m_best->delay, m_best->missing))
                m_best = Best { .region = region, .delay = delay, .missing = missing };
        }

        std::optional<Reservation> reserve(const std::vector<std::vector<End>>& ends) const
        {
            AcceleratorCounts easy(m_room.size());
            for (int worker : m_best->region)
                easy[static_cast<std::size_t>(worker)] = m_room[static_cast<std::size_t>(worker)];
            AcceleratorCounts whole = easy;
            for (int worker : m_best->region) {
                for (const End& end : ends[static_cast<std::size_t>(worker)])
                    whole[static_cast<std::size_t>(worker)] += end.delay <= m_best->delay ? end.accelerators : 0;
            }
            auto fits = gangFits(m_view, m_shape, { .easy = easy, .whole = whole });
            if (fits.empty())
                return std::nullopt;
            return Reservation {
                .tasks = std::move(fits.front().tasks), .missing = fits.front().excess, .delay = m_best->delay
            };
        }

        const ClusterView& m_view;
        const AcceleratorCounts& m_room;
        const AcceleratorCounts& m_limit;
        const state::GangShape& m_shape;
        /// Equals m_room between two regions.
        AcceleratorCounts m_scratch;
        /// Accelerators that must lie on one worker, and how many such units the gang needs.
        int m_unit;
        int m_units;
        std::optional<Best> m_best;
    };

} // namespace

std::optional<Reservation> soonestReservation(
    const ClusterView& view, const state::GangShape& shape, const GangCapacity& room, state::MonotonicTime now)
{
    return ReservationSearch(view, shape, room).run(now);
}

} // namespace lentilsaddle::coordination
