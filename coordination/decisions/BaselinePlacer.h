/// @file
/// Best-fit placement on free accelerators, shared by the baseline policies.
#pragma once

#include "coordination/decisions/AcceleratorPicker.h"
#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/JobFilter.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/Reservation.h"

#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Allocates the free accelerators of one decision by best fit; ignores guarantees.
class BaselinePlacer {
public:
    explicit BaselinePlacer(const state::PlacementState& placement);

    /// @return the start of the job, or nothing if it does not fit.
    std::optional<PlacementPlan::Start> place(const QueuedJob& job);

    /// Places a job on free accelerators outside a reservation.
    /// @param reserved tasks of the reservation.
    /// @return the start of the job, or nothing if it does not fit.
    std::optional<PlacementPlan::Start> placeOutside(const QueuedJob& job, const std::vector<GangTask>& reserved);

    /// @return whether the job would fit if all available workers were idle.
    bool fitsWhenIdle(const QueuedJob& job) { return m_filter.fitsWhenIdle(job); }

    /// @return the reservation that becomes complete soonest, or nothing if the job does not fit even when all running
    /// jobs have ended.
    std::optional<Reservation> reserve(const QueuedJob& job, state::MonotonicTime now) const;

private:
    std::optional<PlacementPlan::Start> placeIn(const QueuedJob& job, const AcceleratorCounts& available);

    ClusterView m_view;
    JobFilter m_filter;
    AcceleratorPicker m_picker;
    AcceleratorCounts m_free;
};

} // namespace lentilsaddle::coordination
