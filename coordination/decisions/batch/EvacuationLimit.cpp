#include "coordination/decisions/batch/EvacuationLimit.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

namespace {

    // Covers the time between the check of the age and the start, and the delay until a busy leader applies a response.
    constexpr std::chrono::milliseconds margin { 300 };

} // namespace

std::chrono::milliseconds allowedEvacuationAge(const EvacuationLimit& times)
{
    if (times.limit.count() == 0)
        return std::chrono::milliseconds::max();
    return std::max(times.regularAge, times.limit - times.startTimeout - margin);
}

} // namespace lentilsaddle::coordination::batch
