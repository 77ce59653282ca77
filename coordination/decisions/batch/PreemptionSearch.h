/// @file
/// Finds the runs whose stop makes room for a unit.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/CapacityIndex.h"
#include "coordination/decisions/batch/RunningGroup.h"
#include "state/batch/Resources.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Looks for the stops that lose least. Belongs to one planning round; the rooms and groups outlive it.
class PreemptionSearch {
public:
    struct Result {
        /// One for each task of the unit.
        CapacityIndex::Assignment workers;
        std::vector<std::size_t> groups;
        double loss = 0;
    };

    PreemptionSearch(const CapacityIndex& capacity, const std::vector<RunningGroup>& groups);

    /// @param candidates workers that may take the tasks.
    /// @param lossLimit a result that loses as much or more is of no use.
    /// @return nothing if there is none.
    std::optional<Result> find(const BatchUnit& unit, const std::vector<std::size_t>& candidates, double lossLimit);

    /// Calls back with worker and run for each run of the group.
    template <typename Callback> void forEachRun(std::size_t group, Callback callback) const
    {
        for (const RunLocation& location : m_runsOfGroup[group])
            callback(location.worker, location.run);
    }

    /// The runs of the worker have changed.
    void invalidateWorker(std::size_t worker) { m_groupsOnWorker[worker].reset(); }

private:
    struct RunLocation {
        std::size_t worker = 0;
        std::size_t run = 0;
    };

    /// Room that a group takes on one worker.
    struct GroupAllocation {
        std::size_t group = 0;
        state::batch::Resources need;
    };

    /// What a worker offers to the unit that is looked at.
    struct Offer {
        state::batch::Resources free;
        std::vector<std::size_t> victims;
        double loss = 0;
        int allowed = 0;
        bool valid = false;
    };

    const std::vector<GroupAllocation>& groupsOnWorker(std::size_t worker);
    bool mayPreempt(const BatchUnit& unit, std::size_t group) const;
    void updateOffer(Offer& offer, const BatchUnit& unit, std::size_t worker);
    void addVictim(std::size_t group, Result& result);

    const CapacityIndex& m_capacity;
    const std::vector<RunningGroup>& m_groups;
    std::vector<std::vector<RunLocation>> m_runsOfGroup;
    /// Groups of a worker that are not leaving, by rising loss.
    std::vector<std::optional<std::vector<GroupAllocation>>> m_groupsOnWorker;
    /// By worker; those of the candidates are set anew for each search.
    std::vector<Offer> m_offers;
    std::vector<bool> m_selected;
};

} // namespace lentilsaddle::coordination::batch
