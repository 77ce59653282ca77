/// @file
/// Holds of the units of one planning round.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/CapacityHold.h"
#include "coordination/decisions/batch/CapacityIndex.h"
#include "state/Time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Keeps the capacity that a preemption frees for the unit that it was made for, from one planning round to the next.
/// Without it, other units use what is free already while the last victims are being stopped, and the unit preempts a
/// second set of victims.
class HeldCapacity {
public:
    /// The arguments must outlive the object.
    HeldCapacity(CapacityIndex& capacity, const std::vector<BatchUnit>& units);

    /// Takes over the holds of the last round whose unit and worker still exist.
    /// @param limit age after which a hold is dropped, because the stops take longer than expected.
    void restore(const std::vector<CapacityHold>& holds, state::MonotonicTime now, std::chrono::milliseconds limit);

    /// Allocates what the unit holds. Drops what does not fit even after the stops; a gang keeps all or nothing.
    void allocate(std::size_t unit);

    /// Frees what allocate() took for the unit, so that the unit itself can use it.
    void release(std::size_t unit);

    /// Frees what the unit holds until resume(), so that a unit with a better claim can use it.
    void suspend(std::size_t unit);

    /// Allocates the suspended holds again as allocate() does, so only those whose capacity is used now are dropped.
    void resume();

    /// @return whether the unit holds a worker on which a task of the other unit could run if nothing else ran there.
    bool holdsWorkerFor(std::size_t unit, const BatchUnit& other) const;

    /// @return workers among the held ones on which tasks of the unit can start now; call after release(). They may be
    /// outside of the unit's rack, so a search in the rack does not find them.
    CapacityIndex::Assignment placeable(std::size_t unit) const;

    /// Holds the workers for the unit. Their capacity has been allocated already.
    void add(std::size_t unit, const CapacityIndex::Assignment& workers, state::MonotonicTime now);

    void drop(std::size_t unit) { m_held.erase(unit); }

    /// @return whether the unit holds a worker on which tasks run longer than this, relative to the usual worker.
    bool holdsSlowerThan(std::size_t unit, double relativeRunTime) const;

    /// @return number of tasks of the unit for which capacity is held.
    std::size_t count(std::size_t unit) const;

    /// @return all holds, for the next round.
    std::vector<CapacityHold> list() const;

private:
    struct Held {
        std::size_t worker = 0;
        state::MonotonicTime since {};
    };

    CapacityIndex& m_capacity;
    const std::vector<BatchUnit>& m_units;
    std::map<std::size_t, std::vector<Held>> m_held;
    std::map<std::size_t, std::vector<Held>> m_suspended;
};

} // namespace lentilsaddle::coordination::batch
