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
    /// Values of the queue at submission.
    BatchQueue queue;
    /// Opaque text for the tasks.
    std::string payload;
    std::vector<BatchStep> steps;
    /// 1 for a job that runs once at submission.
    int occurrences = 1;
    /// Due time of the first occurrence; the epoch for a job that runs at submission.
    WallTime firstDueTime {};
    std::chrono::milliseconds interval { 0 };
    /// When the accepting instance received the job. Orders the queue; decides nothing else.
    WallTime submissionTime {};

    bool hasDueTime() const { return firstDueTime != WallTime {}; }
    WallTime dueTime(int occurrence) const { return firstDueTime + occurrence * interval; }
};

} // namespace lentilsaddle::state::batch
