/// @file
/// Room of all workers during one planning round.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/WorkerView.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Keeps the rooms with an index by rack and finds places in them.
class CapacityIndex {
public:
    /// Workers, one for each task, in the order of the tasks.
    using Assignment = std::vector<std::size_t>;

    /// Which of the two figures of a room counts as free.
    enum class Free {
        Now,
        /// Also what runs that are being stopped will leave.
        AfterStops,
    };

    struct Rack {
        std::string name;
        std::vector<std::size_t> workers;
        std::int64_t freeAccelerators = 0;
    };

    explicit CapacityIndex(std::vector<WorkerView> workers);

    const std::vector<WorkerView>& workers() const { return m_workers; }
    const std::vector<Rack>& racks() const { return m_racks; }
    const std::vector<std::size_t>& allWorkers() const { return m_allWorkers; }

    /// @return the workers of a rack; none if no worker names it.
    const std::vector<std::size_t>& workersInRack(const std::string& rack) const;

    /// @return share of the accelerators that was in use when the round began.
    double utilisation() const { return m_utilisation; }

    /// @return whether the unit may run on the worker at all.
    bool eligible(const BatchUnit& unit, std::size_t worker) const;

    /// @return how many more tasks of the unit the worker may have, room aside.
    static int tasksAllowed(const BatchUnit& unit, const WorkerView& view);

    /// Chooses the places that leave the least room over.
    /// @return at most `count` places; fewer if no more tasks fit.
    Assignment selectWorkers(
        const BatchUnit& unit, const std::vector<std::size_t>& candidates, Free free, std::size_t count) const;

    /// Chooses places for the whole unit in the fullest rack that holds it; empty if none does.
    Assignment selectRack(const BatchUnit& unit, Free free) const;

    /// Takes room of a worker for the rest of the round.
    void allocate(std::size_t worker, const state::batch::Resources& need);

    /// A run starts to leave.
    void markStopping(std::size_t worker, std::size_t run);

private:
    std::vector<WorkerView> m_workers;
    std::vector<Rack> m_racks;
    std::vector<std::size_t> m_rackOf;
    std::vector<std::size_t> m_allWorkers;
    double m_utilisation = 0;
};

} // namespace lentilsaddle::coordination::batch
