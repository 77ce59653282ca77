/// @file
/// Identity of one lease at a worker.
#pragma once

#include "state/FencingToken.h"
#include "state/Identifier.h"

namespace lentilsaddle::protocol {

struct WorkerLease {
    state::JobId job;
    int attempt = 0;
    /// Epoch of the caller and sequence with which the lease was granted.
    state::FencingToken token;
};

} // namespace lentilsaddle::protocol
