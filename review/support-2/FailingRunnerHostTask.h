/// @file
/// Workers of which some fail everything that they start.
#pragma once

#include "tests/standin/BatchRunnerHostTask.h"

#include <set>

namespace lentilsaddle::review {

/// The project's worker stand-in, whose `POST /control` also takes `failing`: the indices of the workers on which every
/// run that starts from then on ends as failed after a short time, whatever its work and its gang.
class FailingRunnerHostTask : public standin::BatchRunnerHostTask {
public:
    using BatchRunnerHostTask::BatchRunnerHostTask;
    ~FailingRunnerHostTask() override;

protected:
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    std::set<int> m_failing;
};

} // namespace lentilsaddle::review
