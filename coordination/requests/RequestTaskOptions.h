/// @file
/// Options of RequestTask.
#pragma once

#include "coordination/decisions/AdmissionQueue.h"
#include "coordination/decisions/OutlierDetector.h"
#include "coordination/decisions/RetryBudget.h"

#include <chrono>
#include <cstddef>

namespace lentilsaddle::coordination {

/// Options of RequestTask.
struct RequestTaskOptions {
    AdmissionQueueOptions queue;
    RetryBudgetOptions retryBudget;
    OutlierDetectorOptions outliers;
    /// Number of records in a ledger's stream after which a snapshot is appended.
    std::size_t snapshotRecords = 1000;
    /// Longest time between snapshots. Without it, the last snapshot of an idle stream would expire from the log.
    std::chrono::seconds snapshotInterval { 3600 };
    /// Time after the caller's deadline for which the response to a non-repeatable request is still awaited, so that
    /// its outcome can be recorded.
    std::chrono::milliseconds lateResponseGrace { 30'000 };
    /// Timeout for appending an outcome; the append is repeated after it.
    std::chrono::milliseconds outcomeAppendTimeout { 30'000 };
    /// Delay before the append of an outcome is repeated.
    std::chrono::milliseconds outcomeRetryDelay { 1000 };
    /// Size of the cache of responses to non-repeatable requests, in bytes; it serves callers that repeat a request.
    std::size_t responseCacheBytes = 8 << 20;
};

} // namespace lentilsaddle::coordination
