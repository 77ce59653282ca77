/// @file
/// Bound on the wait of gangs that miss their objective.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/WorkerView.h"
#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Selects gangs that are served before the units which can still meet their objective. Without this, a gang that
/// misses its objective waits until those leave it all the workers that it needs at once, which has no bound. Single
/// tasks need no such room and are not selected.
///
/// All rules hold for each service and priority by itself. Old gangs that together need more than all workers of their
/// service show lasting overload. Then none of them is selected: not all can be served in time, and units that can
/// still meet their objective would become late as well.
class ServiceAging {
public:
    /// Job, occurrence and step.
    using StepKey = std::tuple<state::JobId, int, int>;

    struct Options {
        /// A gang is old when it has waited for this share of the time in which its result has value: late enough that
        /// most gangs start by their rank before, early enough that the result still has value.
        double waitFactor = 0.6;
        /// After the start of a selected gang the next one waits for this multiple of its run time, so that old gangs
        /// leave most of the capacity to the units that can meet their objective. A gang that was selected without a
        /// start is passed over for this multiple of the time for which it was selected.
        double pauseFactor = 4;
        /// A gang is selected for its estimate, in which runs of its kind end and leave it room, and at least for this
        /// time, because an estimate may be 0.
        std::chrono::milliseconds shortestPreference { 1'000 };
    };

    ServiceAging() = default;
    explicit ServiceAging(const Options& options)
        : m_options(options)
    {
    }

    /// Records since when gangs have waited.
    /// @param units ready units of one planning round.
    void recordWaiting(const std::vector<BatchUnit>& units, state::MonotonicTime now);

    /// @param units ready units of one planning round.
    /// @param workers usable workers.
    /// @param mayFit whether the workers could hold a unit. Called at most once for units that need the same, and only
    /// where the result decides on the selection.
    /// @return indices of the units to serve first; of each service and priority at most one.
    std::set<std::size_t> select(const std::vector<BatchUnit>& units, const std::vector<WorkerView>& workers,
        state::MonotonicTime now, const std::function<bool(const BatchUnit&)>& mayFit) const;

    /// Records which units a round has served first.
    void recordSelection(
        const std::vector<BatchUnit>& units, const std::set<std::size_t>& selected, state::MonotonicTime now);

    /// Records that the tasks of a gang are started.
    void recordStart(const StepKey& step, std::chrono::milliseconds runTime, state::MonotonicTime now);

    /// Removes what is known of jobs that have ended.
    void removeJobs(const std::function<bool(const state::JobId&)>& ended);

private:
    using Class = std::pair<state::ServiceId, int>;

    /// Wait of a gang since it was last started.
    struct Wait {
        state::MonotonicTime since;
        Class serviceAndPriority;
        /// Whether the last round that had the gang selected it.
        bool selected = false;
        state::MonotonicTime selectedUntil {};
        state::MonotonicTime passedOverUntil {};
    };

    bool isOld(const BatchUnit& unit, const Wait& wait, state::MonotonicTime now) const;
    bool isPaused(const Class& serviceAndPriority, state::MonotonicTime now) const;
    bool isPassedOver(const BatchUnit& unit, state::MonotonicTime now) const;
    /// @param gangs indices of the old gangs of one service and priority.
    std::optional<std::size_t> selectAmong(std::vector<std::size_t> gangs, const std::vector<BatchUnit>& units,
        const state::batch::Resources& capacity, state::MonotonicTime now,
        const std::function<bool(const BatchUnit&)>& mayFit) const;

    Options m_options;
    std::map<StepKey, Wait> m_waits;
    std::map<Class, state::MonotonicTime> m_pausedUntil;
};

} // namespace lentilsaddle::coordination::batch
