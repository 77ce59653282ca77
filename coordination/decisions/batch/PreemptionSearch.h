/// @file
/// Selection of the runs that are preempted for a unit.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/CapacityIndex.h"
#include "coordination/decisions/batch/RunningGroup.h"
#include "state/batch/Resources.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Selects the victims whose stop loses the least work. Used for one planning round; the capacity index and the groups
/// must outlive it.
class PreemptionSearch {
public:
    /// Groups that may be stopped for a unit.
    enum class Victims {
        /// Those of lower priority and, for a guaranteed unit, those without a guarantee.
        Preemptible,
        /// Those on lent capacity, of the same or lower priority.
        Backfilled,
    };

    struct Result {
        /// Workers, one for each task of the unit.
        CapacityIndex::Assignment workers;
        /// Victims.
        std::vector<std::size_t> groups;
        /// Work lost by stopping the victims, in core-seconds.
        double loss = 0;
    };

    PreemptionSearch(const CapacityIndex& capacity, const std::vector<RunningGroup>& groups);

    /// @param candidates workers on which the tasks may be placed.
    /// @param lossLimit results that lose as much or more are discarded.
    /// @return empty if no victims free enough capacity within the limit.
    std::optional<Result> find(const BatchUnit& unit, const std::vector<std::size_t>& candidates, double lossLimit,
        Victims victims = Victims::Preemptible);

    /// Calls back with the indices of worker and run for each run of the group.
    template <typename Callback> void forEachRun(std::size_t group, Callback callback) const
    {
        for (const RunLocation& location : m_runsOfGroup[group])
            callback(location.worker, location.run);
    }

    /// Discards the cached groups of a worker whose runs have changed.
    void invalidateWorker(std::size_t worker) { m_groupsOnWorker[worker].reset(); }

private:
    struct RunLocation {
        std::size_t worker = 0;
        std::size_t run = 0;
    };

    /// Capacity that a group holds on one worker.
    struct GroupAllocation {
        std::size_t group = 0;
        state::batch::Resources resources;
    };

    /// Placement of one task of the current unit on a worker: the victims it takes and their loss.
    struct Offer {
        state::batch::Resources free;
        std::vector<std::size_t> victims;
        double loss = 0;
        int allowed = 0;
        /// Whether the victims and the loss are up to date.
        bool valid = false;
    };

    const std::vector<GroupAllocation>& groupsOnWorker(std::size_t worker);
    bool mayStop(const BatchUnit& unit, std::size_t group, Victims victims) const;
    void updateOffer(Offer& offer, const BatchUnit& unit, std::size_t worker, Victims allowed);
    void addVictim(std::size_t group, Result& result);

    const CapacityIndex& m_capacity;
    const std::vector<RunningGroup>& m_groups;
    std::vector<std::vector<RunLocation>> m_runsOfGroup;
    /// Groups on a worker that are not being stopped, by rising loss.
    std::vector<std::optional<std::vector<GroupAllocation>>> m_groupsOnWorker;
    /// By worker; find() resets those of its candidates.
    std::vector<Offer> m_offers;
    std::vector<bool> m_selected;
};

} // namespace lentilsaddle::coordination::batch
