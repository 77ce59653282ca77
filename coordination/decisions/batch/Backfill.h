/// @file
/// Use of reserved capacity before the unit that it is reserved for can start.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/CapacityIndex.h"
#include "coordination/decisions/batch/RunningGroup.h"
#include "state/Time.h"
#include "state/batch/Resources.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// @return whether the group runs on lent capacity and may be stopped for the unit.
bool mayEndBackfill(const BatchUnit& unit, const RunningGroup& group);

/// Reservations of one planning round with the times at which they can begin. Until then their free capacity may be
/// lent to units that end before. Runs on lent capacity that are still there when the reservation could begin are
/// stopped, so wrong estimates delay it by a bounded time only.
class Backfill {
public:
    struct Options {
        /// Factor on the estimated run time of a unit that has to end before a reservation begins, because estimates of
        /// both are rough.
        double runTimeMargin = 3;
        /// Time from the placement of a task until it runs.
        std::chrono::milliseconds startTime { 500 };
        /// A unit that has waited this long may use reserved capacity although it does not end in time, if most of the
        /// accelerators are idle and the reservation does not begin before the same time has passed again.
        std::chrono::milliseconds idleWait { 5'000 };
        /// Share of the accelerators in use below which most of them are idle.
        double idleUtilisation = 0.5;
        /// Wait after which single tasks may use reserved capacity although most of the accelerators are in use.
        /// Lending gains little there, and gangs would only displace each other.
        std::chrono::milliseconds busyWait { 10'000 };
    };

    /// The capacity index and the groups must outlive the object.
    Backfill(const Options& options, CapacityIndex& capacity, const std::vector<RunningGroup>& groups);

    /// Reserves capacity for a unit that has to wait for runs to end.
    /// @param workers one for each task.
    void reserve(const BatchUnit& unit, const CapacityIndex::Assignment& workers, state::MonotonicTime now);

    /// Frees the reserved capacity that a unit may use now, until reclaim().
    /// @return whether there is any.
    bool lend(const BatchUnit& unit, state::MonotonicTime now);

    /// Allocates the lent capacity again, beside what has been placed there.
    void reclaim();

    /// @return whether capacity of the worker is lent now.
    bool lent(std::size_t worker) const;

private:
    struct Reserved {
        state::batch::Resources resources;
        /// Earliest begin of a reservation on the worker.
        state::MonotonicTime begin = state::MonotonicTime::max();
        /// Lowest priority, which is the highest number, of the units that have reserved it.
        int priority = 0;
    };

    bool mayUse(const BatchUnit& unit, std::size_t worker, state::MonotonicTime now) const;
    bool endsBefore(
        const BatchUnit& unit, std::size_t worker, state::MonotonicTime limit, state::MonotonicTime now) const;
    /// @return when the worker can hold the resources for the unit beside its earlier reservations, if the runs on lent
    /// capacity are stopped.
    state::MonotonicTime availableAt(const BatchUnit& unit, std::size_t worker,
        const state::batch::Resources& resources, state::MonotonicTime now) const;

    Options m_options;
    CapacityIndex& m_capacity;
    const std::vector<RunningGroup>& m_groups;
    std::map<std::size_t, Reserved> m_reserved;
    std::vector<std::size_t> m_lent;
};

} // namespace lentilsaddle::coordination::batch
