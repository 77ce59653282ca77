/// @file
/// Runs that are stopped together.
#pragma once

#include "state/Identifier.h"

namespace lentilsaddle::coordination::batch {

/// A running gang, or a single task.
struct RunningGroup {
    state::AccountId account;
    int priority = 0;
    /// Whether the account's accelerator guarantee covers the group.
    bool guaranteed = false;
    /// A run of the group started on capacity that was reserved for another unit.
    bool backfilled = false;
    /// Work lost if the group is stopped, in core-seconds.
    double loss = 0;
};

} // namespace lentilsaddle::coordination::batch
