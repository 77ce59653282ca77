/// @file
/// Placement state by index, as one decision reads it.
#pragma once

#include "coordination/decisions/GangTask.h"
#include "state/PlacementState.h"

#include <vector>

namespace lentilsaddle::coordination {

/// Accelerators of each worker that a search may use, by worker index.
using AcceleratorCounts = std::vector<int>;

/// Index of a PlacementState's workers, racks and jobs. Points into the state, which must outlive it unchanged.
class ClusterView {
public:
    struct WorkerView {
        const state::PlacementState::WorkerSlots* slots = nullptr;
        int rack = 0;
        /// Accelerators, or 0 if the worker is not available.
        int capacity = 0;
        /// Jobs on the worker, by index into jobs().
        std::vector<int> jobs;
    };
    struct JobView {
        const state::JobId* id = nullptr;
        const state::PlacementState::Allocation* occupant = nullptr;
        /// Tasks on known workers.
        std::vector<GangTask> tasks;
    };

    explicit ClusterView(const state::PlacementState& placement);

    const state::PlacementState& placement() const { return *m_placement; }
    const std::vector<WorkerView>& workers() const { return m_workers; }
    /// @return workers of each rack in the order of their positions.
    const std::vector<std::vector<int>>& racks() const { return m_racks; }
    /// @return jobs in the order of their starts.
    const std::vector<JobView>& jobs() const { return m_jobs; }
    /// @return free accelerators of each available worker.
    const AcceleratorCounts& freeAccelerators() const { return m_freeAccelerators; }
    /// @return accelerators of each available worker.
    AcceleratorCounts capacity() const;
    /// @return accelerators of each worker, available or not.
    AcceleratorCounts installed() const;
    /// @return index of a worker, or -1 if it is unknown.
    int workerIndex(const state::WorkerId& id) const;

private:
    void addWorkers();
    void addJobs();

    const state::PlacementState* m_placement;
    std::vector<WorkerView> m_workers;
    std::vector<std::vector<int>> m_racks;
    std::vector<JobView> m_jobs;
    AcceleratorCounts m_freeAccelerators;
};

} // namespace lentilsaddle::coordination
