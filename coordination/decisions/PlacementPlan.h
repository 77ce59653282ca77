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
    };

    /// Jobs to start now, on accelerators that are free.
    std::vector<Start> starts;
    /// Running jobs to checkpoint and stop, so that a guarantee can be honoured.
    std::vector<state::JobId> preemptions;
};

} // namespace lentilsaddle::coordination
