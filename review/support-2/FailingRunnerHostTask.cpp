#include "review/support-2/FailingRunnerHostTask.h"

#include "tests/standin/JsonHttp.h"

#include <utility>

namespace lentilsaddle::review {

using nlohmann::json;

namespace {

    // Time from the start to the failure of a run.
    constexpr int failAfterMs = 200;

} // namespace

FailingRunnerHostTask::~FailingRunnerHostTask()
{
    stop();
}

void FailingRunnerHostTask::onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder)
{
    if (request.path == "/control") {
        json control = standin::parseObject(request.body);
        if (control.contains("failing"))
            m_failing = control.at("failing").get<std::set<int>>();
        if (control.contains("late_start")) {
            m_lateStart = control.at("late_start").get<int>();
            m_lateDelay = standin::millisecondsOr(control, "late_ms", std::chrono::milliseconds(0));
        }
    }
    if (request.path == "/-/run-start" && m_lateStart == listener) {
        m_lateStart.reset();
        loop().startTimer(m_lateDelay, [this, listener, request, responder] {
            BatchRunnerHostTask::onRequest(listener, request,
                [responder](const transport::HttpResponse&) { responder(standin::droppedConnection()); });
        });
        return;
    }
    if (request.path == "/-/run-start" && m_failing.contains(listener)) {
        json command = standin::parseObject(request.body);
        json work = json::parse(command.at("spec").get<std::string>());
        work["work_ms"] = failAfterMs;
        work["gang"] = 1;
        work["fail"] = true;
        command["spec"] = work.dump();
        request.body = command.dump();
    }
    BatchRunnerHostTask::onRequest(listener, std::move(request), std::move(responder));
}

} // namespace lentilsaddle::review
