/// @file
/// Places ready tasks on workers.
#pragma once

#include "coordination/decisions/batch/Backfill.h"
#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/CapacityHold.h"
#include "coordination/decisions/batch/CapacityIndex.h"
#include "coordination/decisions/batch/HeldCapacity.h"
#include "coordination/decisions/batch/PreemptionSearch.h"
#include "coordination/decisions/batch/RunningGroup.h"
#include "coordination/decisions/batch/ServiceAging.h"
#include "coordination/decisions/batch/WorkerView.h"
#include "state/Time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace lentilsaddle::coordination::batch {

struct PlannerOptions {
    /// Delay scheduling: a unit is placed without regard to its rack after it has waited this multiple of its estimate.
    double localityDelayFactor = 2;
    /// The same after this wait while less than half of the accelerators are in use.
    std::chrono::milliseconds idleLocalityDelay { 1'200 };
    /// Units of one round that cannot start yet and get a capacity reservation.
    std::size_t maximumReservations = 6;
    /// Workers on which tasks run longer than this, relative to the usual worker, are slow. Callers of urgent work
    /// allow about half more than the estimate, so a smaller difference makes nothing late.
    double slowRunTime = 1.3;
    /// Workers on which tasks run at most this long are fast.
    double fastRunTime = 0.83;
    /// Factor on run times where a deadline must be kept, because estimates are rough.
    double speedMargin = 1.25;
    /// Longest wait of a guaranteed unit for workers that are not slow. A guarantee is a promise to start within some
    /// seconds, of which stopping other runs after the wait takes more than one.
    std::chrono::milliseconds guaranteedSpeedWait { 1'000 };
    /// The same without a guarantee, so that the unit starts although the other workers do not become free.
    std::chrono::milliseconds speedWait { 2'000 };
    /// Wait after which capacity is reserved for a unit that cannot start.
    std::chrono::milliseconds reservationDelay { 1'000 };
    /// Time for which freed capacity is held for the unit that preempted. Longer than a worker takes to stop a run and
    /// to list its end. After it the unit chooses anew, which may be the same workers.
    std::chrono::milliseconds holdLimit { 1'500 };
    /// Longest time for which runs on lent capacity may keep a unit from starting before they are stopped.
    std::chrono::milliseconds backfillDelay { 1'500 };
    Backfill::Options backfill;
};

/// State on which a planning round decides.
struct PlanInput {
    std::vector<BatchUnit> units;
    std::vector<WorkerView> workers;
    std::vector<RunningGroup> groups;
    state::MonotonicTime now {};
    ServiceAging aging;
    /// False while the state of many workers is unknown, as at the begin of a term.
    bool preemptionAllowed = true;
    /// Holds that the last round returned.
    std::vector<CapacityHold> holds;
};

/// A task to start on a worker.
struct Placement {
    /// Index of the unit in the input.
    std::size_t unit = 0;
    /// Index of the task in its step.
    int index = 0;
    /// Index of the worker in the input.
    std::size_t worker = 0;
    /// The capacity is reserved for another unit, which may have the run stopped.
    bool backfilled = false;
};

/// A running group to stop for a unit.
struct Preemption {
    /// Index of the group to stop in the input.
    std::size_t group = 0;
    /// Index of the unit that needs the capacity in the input.
    std::size_t unit = 0;
    /// The group runs on capacity that was lent to it.
    bool backfilled = false;

    bool operator==(const Preemption&) const = default;
};

struct BatchPlan {
    std::vector<Placement> placements;
    std::vector<Preemption> preemptions;
    /// Capacity that is held until the next round.
    std::vector<CapacityHold> holds;
    /// Indices of the units that were served first by their age.
    std::set<std::size_t> preferred;
    /// Indices of the units that only runs on lent capacity keep from starting.
    std::set<std::size_t> delayed;
};

/// Runs one planning round. Units are placed in the order of guarantee, priority and urgency; those of priority 0 may
/// preempt running groups.
class BatchPlanner {
public:
    BatchPlanner(const PlannerOptions& options, PlanInput input);

    /// @return tasks to start now and groups to stop. Call once.
    BatchPlan plan();

    /// @return the units of the input. After plan(), those of single tasks lack the indices of placed tasks.
    const std::vector<BatchUnit>& units() const { return m_units; }
    /// @return the workers of the input.
    const std::vector<WorkerView>& workers() const { return m_capacity.workers(); }

private:
    using Assignment = CapacityIndex::Assignment;

    std::vector<std::size_t> serviceOrder();
    /// @return whether the unit completes in time on the slowest workers too, with a margin.
    bool completesOnSlowestWorkers(const BatchUnit& unit) const;
    /// @return whether the unit may miss its deadline on slow workers but can meet it on others.
    bool needsSpeed(const BatchUnit& unit) const;
    /// @return whether a unit that finds room on slow workers alone should wait for others. False if the others could
    /// not hold it even when idle. The unit's limit of the run time must be set.
    bool waitsForSpeed(const BatchUnit& unit) const;
    /// Removes the first tasks of a unit, which are placed.
    /// @return whether none is left. The rest need as much each and would not fit either.
    static bool removePlaced(BatchUnit& unit, std::size_t count);
    /// Places a unit that needs speed on workers that are not slow.
    /// @return whether nothing is left to place in this round.
    bool placeOnFasterWorkers(std::size_t index);
    void placeGang(std::size_t index);
    void placeTasks(std::size_t index);
    /// @return workers in the unit's preferred rack, which is near its data, or in one rack for a gang that requires
    /// it.
    Assignment selectLocal(const BatchUnit& unit, CapacityIndex::Free free, std::size_t count) const;
    Assignment selectAnywhere(const BatchUnit& unit, std::size_t count) const;
    bool mayPreempt(const BatchUnit& unit) const;
    bool nonLocalAllowed(const BatchUnit& unit) const;
    void serve(std::size_t index);
    /// @return whether all tasks of the unit are placed or have capacity that becomes free.
    bool served(std::size_t index) const;
    /// Allocates what the units hold, so that it goes to no other unit.
    void allocateHolds();
    /// Frees the holds of units without a guarantee on workers that the unit could use.
    /// @return whether there were any. HeldCapacity::resume() restores those whose capacity stays unused.
    bool suspendOtherHolds(const BatchUnit& unit);
    /// Holds capacity that becomes free by stops for a unit.
    void hold(std::size_t index, const BatchUnit& unit, const Assignment& assignment);
    bool preempt(std::size_t index, const BatchUnit& unit, bool ignoreLocality);
    std::optional<PreemptionSearch::Result> findVictims(
        const BatchUnit& unit, bool ignoreLocality, PreemptionSearch::Victims victims);
    void stopVictims(std::size_t index, const PreemptionSearch::Result& result, bool backfilled);
    /// Places a unit on capacity that is reserved for others, where it ends before they can start.
    void placeOnLentCapacity(std::size_t index);
    /// Stops runs on lent capacity that have kept the unit from starting for too long.
    void endBackfill(std::size_t index);
    /// Keeps capacity free for a unit that has waited for some time and still cannot start.
    void reserveForLater(std::size_t index);
    void place(std::size_t index, const Assignment& assignment);
    void reserveWorkers(const BatchUnit& unit, const Assignment& assignment);
    /// Reserves capacity for a unit that cannot start yet, unless the workers could not hold it even when idle.
    void reserveForBlocked(const BatchUnit& unit);
    /// @return workers to reserve; for a gang, one for each task or none.
    Assignment selectReservation(const BatchUnit& unit) const;
    /// The same among the workers of the preferred rack, or of one rack for a gang that requires it.
    Assignment selectLocalReservation(const BatchUnit& unit) const;
    Assignment selectReservationAmong(const BatchUnit& unit, const std::vector<std::size_t>& candidates) const;

    PlannerOptions m_options;
    std::vector<BatchUnit> m_units;
    std::vector<RunningGroup> m_groups;
    state::MonotonicTime m_now;
    ServiceAging m_aging;
    bool m_preemptionAllowed;
    CapacityIndex m_capacity;
    PreemptionSearch m_preemption;
    HeldCapacity m_held;
    Backfill m_backfill;
    BatchPlan m_plan;
    std::size_t m_reservations = 0;
    /// Whether any run uses lent capacity.
    bool m_anyBackfilled = false;
};

} // namespace lentilsaddle::coordination::batch
