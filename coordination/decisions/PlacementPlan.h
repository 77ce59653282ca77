/// @file
/// Result of a placement decision.
#pragma once

#include "state/Identifier.h"
#include "state/TaskPlacement.h"

#include <vector>

namespace lentilsaddle::coordination {

struct PlacementPlan {
    struct Start {
        state::JobId job;
        std::vector<state::TaskPlacement> placements;
        /// The job runs within its account's guarantee and is never preempted while that lasts. Passed on to
        /// PlacementState::allocate.
        bool withinGuarantee = false;
    };

    /// Jobs to start now, on accelerators that are free.
    std::vector<Start> starts;
    /// Running jobs to checkpoint and stop, so that a guarantee can be honoured. Each is named again by later plans
    /// until it is marked by PlacementState::markStopping or released.
    std::vector<state::JobId> preemptions;
    /// Waiting jobs that start when the preempted ones have freed their accelerators.
    std::vector<state::JobId> reclaiming;
};

} // namespace lentilsaddle::coordination
