/// @file
/// Command of a gang coordinator to its caller.
#pragma once

#include "state/Identifier.h"

namespace lentilsaddle::coordination {

struct GangCommand {
    enum class Kind {
        /// Reserve the gang's accelerators on the worker.
        Lease,
        /// Start the task, if GangCoordinator::mayStart() is still true right before the call.
        Start,
        Checkpoint,
        /// Stop the task if it runs and free the accelerators.
        Release,
        /// Append AttemptEnded with the coordinator's outcome.
        RecordEnd,
    };

    Kind kind = Kind::Lease;
    /// Empty for RecordEnd.
    state::WorkerId worker;

    bool operator==(const GangCommand&) const = default;
};

} // namespace lentilsaddle::coordination
