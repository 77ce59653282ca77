/// @file
/// Places ready tasks on workers.
#pragma once

#include "coordination/decisions/batch/BatchUnit.h"
#include "coordination/decisions/batch/RunningGroup.h"
#include "coordination/decisions/batch/WorkerRoom.h"
#include "state/Time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace lentilsaddle::coordination::batch {

struct PlannerOptions {
    /// A unit takes a far place when it has waited this share of its estimate for a near one.
    double farPatience = 2;
    /// Or this long, while less than half of the accelerators are in use.
    std::chrono::milliseconds idleFarPatience { 1'200 };
    /// Blocked units of one round for which room is kept.
    std::size_t maximumReservations = 6;
    /// Wait after which room is kept for a blocked unit.
    std::chrono::milliseconds reservationDelay { 1'000 };
};

struct PlanInput {
    std::vector<BatchUnit> units;
    std::vector<WorkerRoom> workers;
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
    using WorkerChoice = std::vector<std::size_t>;

    std::vector<std::size_t> order() const;
    void placeUnit(std::size_t unit);
    std::optional<WorkerChoice> choosePlaces(const BatchUnit& unit, bool soon, bool far) const;
    std::optional<WorkerChoice> chooseInRack(
        const BatchUnit& unit, const std::string* rack, bool soon, std::size_t count) const;
    std::vector<std::string> racks() const;
    bool eligible(const BatchUnit& unit, const WorkerRoom& room, const std::string* rack, bool avoidFailed) const;
    double fitScore(const BatchUnit& unit, const state::batch::Resources& free, const WorkerRoom& room) const;
    bool farAllowed(const BatchUnit& unit) const;
    bool preempt(std::size_t index, const BatchUnit& unit, bool far);
    struct Victims;
    struct PreemptionPlan;
    std::optional<Victims> chooseVictims(const BatchUnit& unit, const WorkerRoom& room,
        state::batch::Resources available, const std::set<std::size_t>& alreadyChosen) const;
    std::optional<PreemptionPlan> planPreemption(const BatchUnit& unit, const std::string* rack) const;
    bool mayPreempt(const BatchUnit& unit, const RunningGroup& group) const;
    void take(std::size_t unit, const WorkerChoice& choice, std::size_t first);
    void keepRoom(const BatchUnit& unit, const WorkerChoice& choice);
    void reserve(const BatchUnit& unit);

    PlannerOptions m_options;
    PlanInput m_input;
    BatchPlan m_plan;
    double m_useShare = 0;
    std::size_t m_reservations = 0;
};

} // namespace lentilsaddle::coordination::batch
