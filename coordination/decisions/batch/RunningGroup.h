/// @file
/// Runs that stop together.
#pragma once

#include "state/Identifier.h"
#include "state/batch/BatchTaskId.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// A running gang, or one task.
struct RunningGroup {
    std::vector<std::pair<state::batch::BatchTaskId, std::int64_t>> runs;
    state::AccountId account;
    int priority = 0;
    /// The account's guarantee covers the group.
    bool guaranteed = false;
    /// Core-seconds that a stop would throw away.
    double loss = 0;
};

} // namespace lentilsaddle::coordination::batch
