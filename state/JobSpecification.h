/// @file
/// Specification of a job, as submitted by its caller.
#pragma once

#include "state/GangShape.h"
#include "state/Identifier.h"

#include <chrono>
#include <string>

namespace lentilsaddle::state {

struct JobSpecification {
    JobId id;
    AccountId account;
    GangShape shape;
    /// The caller's estimate. Guarantees never rely on it.
    std::chrono::seconds declaredRunTime { 0 };
    /// Whether a new attempt may start after one whose outcome is unknown.
    bool repeatable = true;
    /// Whether the job may reclaim its account's guarantee at once.
    bool urgent = false;
    /// Opaque text for the workers, such as a command line.
    std::string payload;

    bool operator==(const JobSpecification&) const = default;
};

/// Checks the ranges of shape and run time.
/// @throws StateError naming the offending field.
void validate(const JobSpecification& specification);

} // namespace lentilsaddle::state
