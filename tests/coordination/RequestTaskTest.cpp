#include "tests/coordination/RequestTaskFixture.h"

namespace lentilsaddle::coordination {

namespace {

    using state::RequestOutcome;

    class RequestTaskTest : public RequestTaskFixture { };

} // namespace

TEST_F(RequestTaskTest, ServesARepeatableRequest)
{
    RequestTask& task = startInstance("e1");
    takeEvents();
    Answer answer = ask(task, request("q1"));
    EXPECT_EQ(answer.outcome, RequestOutcome::Done);
    EXPECT_EQ(answer.body, "answer to body of q1");
    EXPECT_EQ(answer.contentType, "text/plain");
    EXPECT_EQ(m_backend.runs("q1"), 1);
    transport::HttpHeaders headers = m_backend.lastHeaders();
    EXPECT_EQ(headers["request-attempt"], "1");
    EXPECT_EQ(headers["client-account"], "bilbao");
    EXPECT_LE(std::stoi(headers["request-deadline-ms"]), 30'000);
    EXPECT_EQ(takeEvents(),
        (std::vector<std::string> { "request.received", "request.queued", "request.handed_over", "request.answered" }));
}

// Guards against a caller that cannot tell a wrong request from a system that is not ready.
TEST_F(RequestTaskTest, RefusalsNameTheirReason)
{
    RequestTask& task = startUnconfigured("e1");
    EXPECT_EQ(ask(task, request("q1")).reason, "not_ready");
    task.post({ .body = RequestMessage::Configure { .configuration = configuration(), .ready = true } });
    RequestMessage::ServiceRequest wrong = request("q2");
    wrong.service = state::ServiceId("other");
    Answer answer = ask(task, wrong);
    EXPECT_EQ(answer.outcome, RequestOutcome::NotRun);
    EXPECT_EQ(answer.reason, "unknown_service");
    EXPECT_EQ(answer.status, 404);
    wrong = request("q3");
    wrong.account = state::AccountId("other");
    EXPECT_EQ(ask(task, wrong).status, 403);
    answer = ask(task, request("q4"));
    EXPECT_EQ(answer.reason, "no_backend_server");
    EXPECT_EQ(answer.status, 503);
    wrong = request("q5");
    wrong.nonRepeatable = true;
    EXPECT_EQ(ask(task, wrong).status, 400);
    EXPECT_EQ(m_backend.totalRuns(), 0);
}

// Guards against the same order being placed again through another instance.
TEST_F(RequestTaskTest, NonRepeatableRequestRunsOnceAtAllInstances)
{
    RequestTask& first = startInstance("e1");
    RequestTask& second = startInstance("e2");
    Answer answer = ask(first, request("q1", "order-7"));
    EXPECT_EQ(answer.outcome, RequestOutcome::Done);
    EXPECT_EQ(answer.body, "answer to body of q1");
    drain(first);
    Answer again = ask(second, request("q2", "order-7"));
    EXPECT_EQ(again.outcome, RequestOutcome::Done);
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(m_backend.runs("order-7"), 1);
}

// Guards against handing over without a claim when the log cannot keep one.
TEST_F(RequestTaskTest, NonRepeatableRequestIsRefusedWhileTheLogIsUnavailable)
{
    RequestTask& task = startInstance("e1");
    m_log.setReachable(false);
    Answer answer = ask(task, request("q1", "order-7"));
    EXPECT_EQ(answer.outcome, RequestOutcome::NotRun);
    EXPECT_EQ(answer.reason, "log_unavailable");
    EXPECT_EQ(ask(task, request("q2")).outcome, RequestOutcome::Done);
    EXPECT_EQ(m_backend.totalRuns(), 1);
}

} // namespace lentilsaddle::coordination
