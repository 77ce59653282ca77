/// @file
/// Shape that is kept for a waiting job.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/GangFit.h"
#include "coordination/decisions/GangTask.h"
#include "state/GangShape.h"
#include "state/Time.h"

#include <chrono>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

struct Reservation {
    std::vector<GangTask> tasks;
    /// Accelerators that are not free yet.
    int missing = 0;
    /// Time until the missing ones are expected to be free.
    std::chrono::milliseconds delay { 0 };
};

/// Finds the worker, rack or set of racks where the shape becomes free soonest, by the expected ends of running jobs.
/// @param room free accelerators, and all accelerators that may be used once they are free.
/// @return nothing if the shape does not fit even when all running jobs have ended.
std::optional<Reservation> soonestReservation(
    const ClusterView& view, const state::GangShape& shape, const GangCapacity& room, state::MonotonicTime now);

} // namespace lentilsaddle::coordination
