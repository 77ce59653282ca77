/// @file
/// Places ready tasks on workers.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/CapacityIndex.h"
#include "coordination/decisions/batch/PreemptionSearch.h"
#include "coordination/decisions/batch/RunningGroup.h"
#include "coordination/decisions/batch/WorkerView.h"
#include "state/Time.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace lentilsaddle::coordination::batch {

struct PlannerOptions {
    /// A unit takes a far place when it has waited this share of its estimate for a near one.
    double localityDelayFactor = 2;
    /// Or this long, while less than half of the accelerators are in use.
    std::chrono::milliseconds idleLocalityDelay { 1'200 };
    /// Blocked units of one round for which room is kept.
    std::size_t maximumReservations = 6;
    /// Wait after which room is kept for a blocked unit.
    std::chrono::milliseconds reservationDelay { 1'000 };
};

struct PlanInput {
    std::vector<BatchUnit> units;
    std::vector<WorkerView> workers;
    std::vector<RunningGroup> groups;
    state::MonotonicTime now {};
};

struct Placement {
    /// Unit in the input.
    std::size_t unit = 0;
    int index = 0;
    /// Worker in the input.
    std::size_t worker = 0;
};

struct Preemption {
    /// Group in the input that is to be stopped.
    std::size_t group = 0;
    /// Unit in the input that needs the room.
    std::size_t unit = 0;

    bool operator==(const Preemption&) const = default;
};

struct BatchPlan {
    std::vector<Placement> placements;
    std::vector<Preemption> preemptions;
};

/// One round of planning. Units are served by guarantee, priority and urgency; urgent units may preempt.
class BatchPlanner {
public:
    BatchPlanner(const PlannerOptions& options, PlanInput input);

    /// @return what to start now and what to stop. Call once.
    BatchPlan plan();

private:
    using Assignment = CapacityIndex::Assignment;

    std::vector<std::size_t> serviceOrder() const;
    void placeGang(std::size_t index);
    void placeTasks(std::size_t index);
    /// @return places near the unit's data, for a gang of one rack in one rack.
    Assignment selectLocal(const BatchUnit& unit, CapacityIndex::Free free, std::size_t count) const;
    Assignment selectAnywhere(const BatchUnit& unit, std::size_t count) const;
    bool mayPreempt(const BatchUnit& unit) const;
    bool nonLocalAllowed(const BatchUnit& unit) const;
    bool preempt(std::size_t index, const BatchUnit& unit, bool ignoreLocality);
    void place(std::size_t index, const Assignment& assignment);
    void reserveWorkers(const BatchUnit& unit, const Assignment& assignment);
    void reserveForBlocked(const BatchUnit& unit);
    const std::vector<std::size_t>& reservationCandidates(const BatchUnit& unit) const;

    PlannerOptions m_options;
    std::vector<BatchUnit> m_units;
    std::vector<RunningGroup> m_groups;
    state::MonotonicTime m_now;
    CapacityIndex m_capacity;
    PreemptionSearch m_preemption;
    BatchPlan m_plan;
    std::size_t m_reservations = 0;
};

} // namespace lentilsaddle::coordination::batch
