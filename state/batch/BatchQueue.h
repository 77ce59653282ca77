/// @file
/// Queue of batch jobs.
#pragma once

#include "state/Identifier.h"

#include <chrono>
#include <string>

namespace lentilsaddle::state::batch {

/// Queue as configured by the operator. A job keeps the settings that were in force at its submission.
struct BatchQueue {
    std::string name;
    /// Callers address the queue by this host and the longest path prefix that matches.
    std::string host;
    std::string pathPrefix;
    /// Service whose workers run the tasks.
    ServiceId service;
    /// 0 is the highest priority and may preempt others.
    int priority = 0;
    /// Failed attempts of a task, or of a gang, after which the job has failed.
    int maximumAttempts = 1;
    /// The latency objective is this factor times the longest chain of tasks, plus targetRuntime.
    double stretch = 1;
    std::chrono::milliseconds targetRuntime { 0 };
    /// Requests need no API key.
    bool anonymousAccess = false;
    /// Only workers that an external policy chooses may run tasks. Jobs for such queues are refused.
    bool requiresExternalPlacement = false;

    bool operator==(const BatchQueue&) const = default;
};

} // namespace lentilsaddle::state::batch
