/// @file
/// Placement on free accelerators without regard to guarantees, as the baselines use it.
#pragma once

#include "coordination/decisions/AcceleratorPicker.h"
#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/JobFilter.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/Reservation.h"

#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Hands out the free accelerators of one decision by best fit.
class BaselinePlacer {
public:
    explicit BaselinePlacer(const state::PlacementState& placement);

    /// @return the job's start, or nothing if it does not fit.
    std::optional<PlacementPlan::Start> place(const QueuedJob& job);

    /// Places a job on accelerators that others do not need.
    std::optional<PlacementPlan::Start> placeOutside(const QueuedJob& job, const std::vector<GangTask>& reserved);

    /// @return whether the job would fit if all available workers were free.
    bool possible(const QueuedJob& job) { return m_filter.possible(job); }

    /// @return the shape that becomes free soonest for the job.
    std::optional<Reservation> reserve(const QueuedJob& job, state::MonotonicTime now) const;

private:
    std::optional<PlacementPlan::Start> placeIn(const QueuedJob& job, const AcceleratorCounts& room);

    ClusterView m_view;
    JobFilter m_filter;
    AcceleratorPicker m_picker;
    AcceleratorCounts m_free;
};

} // namespace lentilsaddle::coordination
