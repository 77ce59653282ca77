/// @file
/// Allocation of the accelerators of one data centre to jobs.
#pragma once

#include "state/Configuration.h"
#include "state/Identifier.h"
#include "state/TaskPlacement.h"
#include "state/Time.h"
#include "state/Worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lentilsaddle::state {

/// Accelerators of a data centre, their allocation to jobs and the guarantees that placement must keep.
class PlacementState {
public:
    /// Properties of an allocation that placement decisions use besides its accelerators.
    struct AllocationOptions {
        /// Whether the job was started within its account's guarantee (PlacementPlan::Start::withinGuarantee). Empty
        /// if unknown, for example after a failover; it is then derived from the running jobs.
        std::optional<bool> withinGuarantee;
        /// Estimated end of the job; empty if unknown.
        std::optional<MonotonicTime> expectedEnd;
    };
    /// Accelerators that one job holds.
    struct Allocation {
        AccountId account;
        std::vector<TaskPlacement> placements;
        AllocationOptions options;
        /// Increases with each call of allocate().
        std::uint64_t order = 0;
        /// The job was requested to stop and releases its accelerators soon.
        bool stopping = false;
    };
    struct WorkerSlots {
        Worker worker;
        /// False while the worker is quarantined or unreachable; its accelerators then do not count as free.
        bool available = true;
        /// Job that holds each accelerator; an empty identifier means free.
        std::vector<JobId> jobs;
    };

    /// Replaces the list of workers. Workers that are in both lists keep their allocations.
    void setWorkers(const std::vector<Worker>& workers);

    /// Replaces the guarantees by those of all client accounts in one data centre. If an account loses a guaranteed
    /// shape, AllocationOptions::withinGuarantee of its running jobs becomes unknown.
    void setGuarantees(const Configuration& configuration, const DataCentreId& dataCentre);

    void setAvailable(const WorkerId& worker, bool available);

    /// Allocates accelerators to a job.
    /// @throws StateError if a worker is unknown or an accelerator is not free.
    void allocate(const JobId& job, const AccountId& account, const std::vector<TaskPlacement>& placements,
        const AllocationOptions& options);
    void allocate(const JobId& job, const AccountId& account, const std::vector<TaskPlacement>& placements)
    {
        allocate(job, account, placements, AllocationOptions {});
    }

    /// Marks a job that was requested to stop, so that later decisions expect the release of its accelerators; an
    /// unknown job is ignored.
    void markStopping(const JobId& job);

    /// Releases all accelerators of a job; an unknown job is ignored.
    void release(const JobId& job);

    const std::map<WorkerId, WorkerSlots>& workers() const { return m_workers; }
    const std::map<JobId, Allocation>& allocations() const { return m_allocations; }
    const std::map<AccountId, std::vector<Guarantee>>& guarantees() const { return m_guarantees; }

    /// @return number of accelerators of all workers.
    int accelerators() const;

    /// @return number of free accelerators on available workers.
    int freeAccelerators() const;

private:
    std::map<WorkerId, WorkerSlots> m_workers;
    std::map<JobId, Allocation> m_allocations;
    std::map<AccountId, std::vector<Guarantee>> m_guarantees;
    std::uint64_t m_nextOrder = 0;
};

} // namespace lentilsaddle::state
