/// @file
/// Which job holds which accelerator of one data centre.
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

/// Occupancy of a data centre's accelerators, with the guarantees that bind it.
class PlacementState {
public:
    /// What a placement decision knows of a job beyond its place.
    struct AllocationOptions {
        /// Whether the job was started within its account's guarantee (PlacementPlan::Start::withinGuarantee). Nothing
        /// if that is unknown, for example after a takeover; it is then judged by the running jobs.
        std::optional<bool> withinGuarantee;
        /// Guess of the job's end; nothing if unknown.
        std::optional<MonotonicTime> expectedEnd;
    };
    /// Job that occupies accelerators.
    struct Allocation {
        AccountId account;
        std::vector<TaskPlacement> placements;
        AllocationOptions options;
        /// Ascends in the order of the occupy calls.
        std::uint64_t order = 0;
        /// The job was told to stop and frees its accelerators soon.
        bool stopping = false;
    };
    struct WorkerSlots {
        Worker worker;
        /// False while the worker is quarantined or unreachable; its accelerators then count as occupied.
        bool available = true;
        /// Allocation of each accelerator; an empty identifier means free.
        std::vector<JobId> jobs;
    };

    /// Replaces the list of workers. Occupancy of workers that stay is kept.
    void setWorkers(const std::vector<Worker>& workers);

    /// Takes over the accounts' guarantees in one data centre. Whether the running jobs of an account that loses a
    /// shape were started within its guarantee counts as unknown from then on.
    void setGuarantees(const Configuration& configuration, const DataCentreId& dataCentre);

    void setAvailable(const WorkerId& worker, bool available);

    /// Occupies accelerators for a job.
    /// @throws StateError if a worker is unknown or an accelerator is not free.
    void allocate(const JobId& job, const AccountId& account, const std::vector<TaskPlacement>& placements,
        const AllocationOptions& options);
    void allocate(const JobId& job, const AccountId& account, const std::vector<TaskPlacement>& placements)
    {
        allocate(job, account, placements, AllocationOptions {});
    }

    /// Marks a job that was told to stop, so that later decisions count on its accelerators; an unknown job is ignored.
    void markStopping(const JobId& job);

    /// Frees all accelerators of a job; an unknown job is ignored.
    void release(const JobId& job);

    const std::map<WorkerId, WorkerSlots>& workers() const { return m_workers; }
    const std::map<JobId, Allocation>& allocations() const { return m_allocations; }
    const std::map<AccountId, std::vector<Guarantee>>& guarantees() const { return m_guarantees; }

    /// @return accelerators of all workers.
    int accelerators() const;

    /// @return accelerators that are free on available workers.
    int freeAccelerators() const;

private:
    std::map<WorkerId, WorkerSlots> m_workers;
    std::map<JobId, Allocation> m_allocations;
    std::map<AccountId, std::vector<Guarantee>> m_guarantees;
    std::uint64_t m_nextOrder = 0;
};

} // namespace lentilsaddle::state
