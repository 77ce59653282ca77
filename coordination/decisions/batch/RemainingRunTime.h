/// @file
/// Estimate of the time until a run ends.
#pragma once

#include <chrono>

namespace lentilsaddle::coordination::batch {

/// What is known of the run time of a task that runs.
struct RunTimeEvidence {
    std::chrono::milliseconds elapsed { 0 };
    /// Estimate of the whole run time; 0 if there is none.
    std::chrono::milliseconds estimate { 0 };
    /// Share of the work that is done, 0 to 100, if all of it was done in the elapsed time; else 0.
    int percent = 0;
};

/// A run that has outlasted its estimate is expected to run on for as long as it is late, so that the expectation grows
/// with the error.
/// @return expected time until the end.
std::chrono::milliseconds remainingRunTime(const RunTimeEvidence& evidence);

/// @return whether the run has outlasted its estimate.
bool isOverdue(const RunTimeEvidence& evidence);

} // namespace lentilsaddle::coordination::batch
