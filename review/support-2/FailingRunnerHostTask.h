/// @file
/// Workers with faults that the project's stand-in does not have.
#pragma once

#include "tests/standin/BatchRunnerHostTask.h"

#include <chrono>
#include <optional>
#include <set>

namespace lentilsaddle::review {

/// The project's worker stand-in, whose `POST /control` also takes `failing`: the indices of the workers on which every
/// run that starts from then on ends as failed after a short time, whatever its work and its gang; and `late_start`:
/// the index of a worker whose next start request gets no response and reaches the worker after `late_ms`, whether or
/// not the worker has been restarted by then.
class FailingRunnerHostTask : public standin::BatchRunnerHostTask {
public:
    using BatchRunnerHostTask::BatchRunnerHostTask;
    ~FailingRunnerHostTask() override;

protected:
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    std::set<int> m_failing;
    /// Worker whose next start request is delivered late.
    std::optional<int> m_lateStart;
    std::chrono::milliseconds m_lateDelay { 0 };
};

} // namespace lentilsaddle::review
