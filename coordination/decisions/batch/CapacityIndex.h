/// @file
/// Free capacity of all workers during one planning round.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/WorkerView.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Tracks the free capacity of the workers, indexed by rack, and selects workers for tasks.
class CapacityIndex {
public:
    /// Indices of workers, one for each task, in the order of the tasks.
    using Assignment = std::vector<std::size_t>;

    /// Which capacity of a worker counts as free.
    enum class Free {
        Now,
        /// Includes the capacity of runs that are being stopped.
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

    /// @return the workers of a rack; empty if no worker is in it.
    const std::vector<std::size_t>& workersInRack(const std::string& rack) const;

    /// @return greatest relative run time of a worker of the service, at least 1.
    double slowestRunTime(const state::ServiceId& service) const;

    /// @return share of the accelerators that was in use when the round began, 0 to 1.
    double utilisation() const { return m_utilisation; }

    /// @return whether the worker has the unit's service and required label and is not too slow for it.
    bool eligible(const BatchUnit& unit, std::size_t worker) const;

    /// @return how many more tasks of the unit its limit per worker allows there, whatever the free capacity.
    static int tasksAllowed(const BatchUnit& unit, const WorkerView& view);

    /// Selects workers by best fit, with a penalty for slow workers and for those where the step has failed.
    /// @return at most `count` workers; fewer if no more tasks fit.
    Assignment selectWorkers(
        const BatchUnit& unit, const std::vector<std::size_t>& candidates, Free free, std::size_t count) const;

    /// Selects workers for the whole unit in the fullest rack that fits it; empty if none does. An urgent unit starts
    /// on cold workers only if no rack has enough others.
    Assignment selectRack(const BatchUnit& unit, Free free) const;

    /// Selects workers for tasks of the unit that have to wait for runs to end. The workers that have the most free
    /// accelerators after the pending stops come first. Together with the earlier reservations of the round, no worker
    /// is reserved beyond its whole capacity.
    /// @return at most one worker for each task of the unit; fewer if they could not hold more even when idle.
    Assignment selectForReservation(const BatchUnit& unit, const std::vector<std::size_t>& candidates) const;

    /// Allocates capacity of a worker for the rest of the round.
    void allocate(std::size_t worker, const state::batch::Resources& resources);

    /// Reverts allocate().
    void release(std::size_t worker, const state::batch::Resources& resources);

    /// The same for a task that has to wait for runs to end.
    void reserve(std::size_t worker, const state::batch::Resources& resources);

    /// Marks a worker on which a task of the unit starts in this round.
    void markStarting(std::size_t worker, const BatchUnit& unit);

    /// Marks a run as being stopped; its capacity counts as free after the stops.
    void markStopping(std::size_t worker, std::size_t run);

private:
    /// @return how many tasks of the unit the worker could hold beside its reservations if nothing ran there.
    int reservableTasks(const BatchUnit& unit, std::size_t worker) const;

    std::vector<WorkerView> m_workers;
    /// Whole capacity of each worker without the reservations of this round.
    std::vector<state::batch::Resources> m_unreserved;
    std::vector<Rack> m_racks;
    std::vector<std::size_t> m_rackOf;
    std::vector<std::size_t> m_allWorkers;
    double m_utilisation = 0;
    std::map<state::ServiceId, double> m_slowestRunTime;
};

} // namespace lentilsaddle::coordination::batch
