/// @file
/// What a caller submits as a job.
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
    /// The caller's guess; never trusted for a guarantee.
    std::chrono::seconds declaredRunTime { 0 };
    /// Whether a new attempt may follow one whose end is unknown.
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
