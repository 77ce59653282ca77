/// @file
/// Batch job as submitted.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"
#include "state/batch/BatchQueue.h"
#include "state/batch/BatchStep.h"

#include <chrono>
#include <string>
#include <vector>

namespace lentilsaddle::state::batch {

struct BatchJob {
    JobId id;
    AccountId account;
    /// Queue with its settings at submission.
    BatchQueue queue;
    /// Opaque text for the tasks.
    std::string payload;
    std::vector<BatchStep> steps;
    /// Number of occurrences; 1 for a job that runs once at submission.
    int occurrences = 1;
    /// Due time of the first occurrence; the Unix epoch for a job that runs at submission.
    WallTime firstDueTime {};
    std::chrono::milliseconds interval { 0 };
    /// When the accepting instance received the job. Used only for the order of the queue.
    WallTime submissionTime {};

    bool hasDueTime() const { return firstDueTime != WallTime {}; }
    WallTime dueTime(int occurrence) const { return firstDueTime + occurrence * interval; }
};

} // namespace lentilsaddle::state::batch
