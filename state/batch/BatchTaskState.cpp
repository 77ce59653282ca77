#include "state/batch/BatchTaskState.h"

#include <algorithm>

namespace lentilsaddle::state::batch {

bool BatchTaskState::addFailedRun(std::int64_t failedRun)
{
    auto position = std::lower_bound(failedRuns.begin(), failedRuns.end(), failedRun);
    if (position != failedRuns.end() && *position == failedRun)
        return false;
    failedRuns.insert(position, failedRun);
    ++failures;
    return true;
}

} // namespace lentilsaddle::state::batch
