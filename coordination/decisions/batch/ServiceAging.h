/// @file
/// Bound on the wait of gangs that miss their objective.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/WorkerView.h"
#include "state/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Selects gangs that are served before the units which can still meet their objective. Without this, a gang that
/// misses its objective waits until those leave it all the workers that it needs at once, which has no bound. Single
/// tasks need no such room and are not selected.
///
/// Old gangs of one priority that together need more than all workers show lasting overload. Then none of them is
/// selected: not all can be served in time, and units that can still meet their objective would become late as well.
class ServiceAging {
public:
    struct Options {
        /// A gang is old when it has waited for this share of the time in which its result has value: late enough that
        /// most gangs start by their rank before, early enough that the result still has value.
        double waitFactor = 0.6;
        /// After the start of an old gang the next one of its priority waits for this multiple of its run time, so that
        /// old gangs leave most of the capacity to the units that can meet their objective.
        double pauseFactor = 4;
    };

    ServiceAging() = default;
    explicit ServiceAging(const Options& options)
        : m_options(options)
    {
    }

    /// @param units ready units of one planning round.
    /// @param workers usable workers.
    /// @param mayFit whether the workers could hold a unit; called for old gangs only.
    /// @return indices of the units to serve first; of each priority at most the gang that has waited longest.
    std::set<std::size_t> select(const std::vector<BatchUnit>& units, const std::vector<WorkerView>& workers,
        state::MonotonicTime now, const std::function<bool(const BatchUnit&)>& mayFit) const;

    /// Records that a unit starts. One that is not an old gang changes nothing.
    void recordStart(const BatchUnit& unit, state::MonotonicTime now);

private:
    bool isOld(const BatchUnit& unit, state::MonotonicTime now) const;

    Options m_options;
    /// By priority.
    std::map<int, state::MonotonicTime> m_pausedUntil;
};

} // namespace lentilsaddle::coordination::batch
