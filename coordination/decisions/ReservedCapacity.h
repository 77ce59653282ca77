/// @file
/// Free accelerators that are kept for waiting jobs.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/Reservation.h"

#include <chrono>
#include <vector>

namespace lentilsaddle::coordination {

/// Keeps the free part of reservations, and lends it to jobs that are declared to end in time.
class ReservedCapacity {
public:
    /// @param completionWeight share of the expected delay that a job's declared run time may take, 0 to 1.
    ReservedCapacity(const ClusterView& view, double completionWeight);

    std::size_t size() const { return m_reservations.size(); }

    /// Keeps the free accelerators of a reservation.
    /// @param free free accelerators, reduced by the kept ones.
    void keep(const Reservation& reservation, AcceleratorCounts& free);

    /// Gives all kept accelerators back.
    /// @param free free accelerators, increased by the kept ones.
    void release(AcceleratorCounts& free);

    /// @return free accelerators together with kept ones that a job with this declared run time may use.
    AcceleratorCounts lend(const AcceleratorCounts& free, std::chrono::seconds declaredRunTime) const;

    /// Takes a gang's accelerators out of the free ones first, then out of the kept ones.
    void use(const std::vector<GangTask>& tasks, AcceleratorCounts& free);

private:
    struct Kept {
        AcceleratorCounts room;
        /// Longest declared run time that is lent to.
        std::chrono::milliseconds limit { 0 };
    };

    std::chrono::milliseconds lendingLimit(const Reservation& reservation) const;

    std::size_t m_workers;
    double m_completionWeight;
    std::vector<Kept> m_reservations;
};

} // namespace lentilsaddle::coordination
