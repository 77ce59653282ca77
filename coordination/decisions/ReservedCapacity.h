/// @file
/// Free accelerators that are reserved for waiting jobs.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/Reservation.h"

#include <chrono>
#include <vector>

namespace lentilsaddle::coordination {

/// Holds the free accelerators of reservations, and lets jobs that are declared to end in time backfill them.
class ReservedCapacity {
public:
    /// @param completionWeight share of a reservation's expected delay that the declared run time of a backfilling job
    /// may take, 0 to 1.
    ReservedCapacity(const ClusterView& view, double completionWeight);

    std::size_t size() const { return m_reservations.size(); }

    /// Reserves the free accelerators of a reservation.
    /// @param free free accelerators, reduced by the reserved ones.
    void add(const Reservation& reservation, AcceleratorCounts& free);

    /// Removes all reservations.
    /// @param free free accelerators, increased by the reserved ones.
    void release(AcceleratorCounts& free);

    /// @return free accelerators together with the reserved ones that a job with this declared run time may backfill.
    AcceleratorCounts usableFor(const AcceleratorCounts& free, std::chrono::seconds declaredRunTime) const;

    /// Allocates a gang's accelerators: free ones first, then reserved ones.
    void allocate(const std::vector<GangTask>& tasks, AcceleratorCounts& free);

private:
    struct Entry {
        AcceleratorCounts capacity;
        /// Longest declared run time of a job that may backfill the reservation.
        std::chrono::milliseconds limit { 0 };
    };

    std::chrono::milliseconds backfillLimit(const Reservation& reservation) const;

    std::size_t m_workerCount;
    double m_completionWeight;
    std::vector<Entry> m_reservations;
};

} // namespace lentilsaddle::coordination
