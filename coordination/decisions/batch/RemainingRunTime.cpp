#include "coordination/decisions/batch/RemainingRunTime.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

namespace {

    // Below it, the progress is too coarse to tell the rate.
    constexpr int leastPercent = 5;
    // Least remainder of a run that has just outlasted its estimate, as a part of the estimate.
    constexpr int lateRemainderPart = 4;

} // namespace

std::chrono::milliseconds remainingRunTime(const RunTimeEvidence& evidence)
{
    if (evidence.percent >= leastPercent)
        return evidence.elapsed * (100 - std::min(evidence.percent, 100)) / evidence.percent;
    if (!isOverdue(evidence))
        return evidence.estimate - evidence.elapsed;
    return std::max(evidence.estimate / lateRemainderPart, evidence.elapsed - evidence.estimate);
}

bool isOverdue(const RunTimeEvidence& evidence)
{
    return evidence.elapsed >= evidence.estimate;
}

} // namespace lentilsaddle::coordination::batch
