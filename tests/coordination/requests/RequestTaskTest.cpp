#include "state/RequestSnapshotParts.h"
#include "tests/coordination/requests/RequestTaskFixture.h"

#include <algorithm>
#include <thread>

namespace lentilsaddle::coordination {

namespace {

    using Behaviour = FakeBackend::Behaviour;
    using state::RequestOutcome;

    class RequestTaskTest : public RequestTaskFixture {
    protected:
        void setBehaviour(Behaviour behaviour)
        {
            m_backend.setBehaviour([behaviour](const transport::HttpRequest&) { return behaviour; });
        }

        /// Blocks until the backend server has received at least `count` requests.
        void awaitArrivals(int count) const
        {
            while (m_backend.arrivals() < count)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    };

} // namespace

// Guards against a request that is sent without its headers or whose response or time line events are incomplete.
TEST_F(RequestTaskTest, ServesARepeatableRequest)
{
    RequestTask& task = startInstance("e1");
    consumeEvents();
    Response response = submitAndWait(task, request("q1"));
    EXPECT_EQ(response.outcome, RequestOutcome::Done);
    EXPECT_EQ(response.body, "answer to body of q1");
    EXPECT_EQ(response.contentType, "text/plain");
    EXPECT_EQ(m_backend.runs("q1"), 1);
    transport::HttpHeaders headers = m_backend.lastHeaders();
    EXPECT_EQ(headers["request-attempt"], "1");
    EXPECT_EQ(headers["client-account"], "bilbao");
    EXPECT_LE(std::stoi(headers["request-deadline-ms"]), 30'000);
    EXPECT_EQ(consumeEvents(),
        (std::vector<std::string> { "request.received", "request.queued", "request.handed_over", "request.answered" }));
}

// Guards against refusals from which a caller cannot distinguish an invalid request from a system that is not ready.
TEST_F(RequestTaskTest, RefusalsReportTheirReason)
{
    RequestTask& task = startUnconfigured("e1");
    EXPECT_EQ(submitAndWait(task, request("q1")).reason, "not_ready");
    task.post({ .body = RequestMessage::Configure { .configuration = configuration(), .ready = true } });
    RequestMessage::ServiceRequest wrong = request("q2");
    wrong.service = state::ServiceId("other");
    Response response = submitAndWait(task, wrong);
    EXPECT_EQ(response.outcome, RequestOutcome::NotRun);
    EXPECT_EQ(response.reason, "unknown_service");
    EXPECT_EQ(response.status, 404);
    wrong = request("q3");
    wrong.account = state::AccountId("other");
    EXPECT_EQ(submitAndWait(task, wrong).status, 403);
    response = submitAndWait(task, request("q4"));
    EXPECT_EQ(response.reason, "no_backend_server");
    EXPECT_EQ(response.status, 503);
    wrong = request("q5");
    wrong.nonRepeatable = true;
    EXPECT_EQ(submitAndWait(task, wrong).status, 400);
    EXPECT_EQ(m_backend.totalRuns(), 0);
}

// Guards against a second run of a non-repeatable request that the caller repeats through another instance.
TEST_F(RequestTaskTest, NonRepeatableRequestRunsOnceAtAllInstances)
{
    RequestTask& first = startInstance("e1");
    RequestTask& second = startInstance("e2");
    Response response = submitAndWait(first, request("q1", "order-7"));
    EXPECT_EQ(response.outcome, RequestOutcome::Done);
    EXPECT_EQ(response.body, "answer to body of q1");
    drain(first);
    Response repeated = submitAndWait(second, request("q2", "order-7"));
    EXPECT_EQ(repeated.outcome, RequestOutcome::Done);
    EXPECT_EQ(repeated.status, 200);
    EXPECT_EQ(m_backend.runs("order-7"), 1);
}

// Guards against the outcome not run for a key that ran through another instance, when this instance has not read the
// stream yet.
TEST_F(RequestTaskTest, RequestWaitsUntilTheStreamIsRead)
{
    EXPECT_EQ(submitAndWait(startInstance("e1"), request("q1", "order-7")).outcome, RequestOutcome::Done);
    m_log.holdFirstBatches();
    RequestTask& late = startInstance("e2");
    std::future<Response> repeated = submit(late, request("q2", "order-7"));
    std::future<Response> other = submit(late, request("q3", "order-8"));
    submitAndWait(late, request("q4"));
    m_log.releaseFirstBatches();
    EXPECT_EQ(repeated.get().outcome, RequestOutcome::Done);
    EXPECT_EQ(other.get().outcome, RequestOutcome::Done);
    EXPECT_EQ(m_backend.runs("order-7"), 1);
    EXPECT_EQ(m_backend.runs("order-8"), 1);
}

// Guards against dispatching a non-repeatable request without a claim when the log cannot store one.
TEST_F(RequestTaskTest, NonRepeatableRequestIsRefusedWhileTheLogIsUnavailable)
{
    RequestTask& task = startInstance("e1");
    setLogReachable(false);
    Response response = submitAndWait(task, request("q1", "order-7"));
    EXPECT_EQ(response.outcome, RequestOutcome::NotRun);
    EXPECT_EQ(response.reason, "log_unavailable");
    EXPECT_EQ(submitAndWait(task, request("q2")).outcome, RequestOutcome::Done);
    EXPECT_EQ(m_backend.totalRuns(), 1);
}

// Guards against responses sent to the wrong caller when they arrive in another order than the requests.
TEST_F(RequestTaskTest, ResponsesInReverseOrderReachTheirCallers)
{
    RequestTask& task = startInstance("e1");
    setBehaviour(Behaviour::RunAndDelayResponse);
    std::vector<std::future<Response>> responses;
    responses.reserve(5);
    for (int i = 0; i < 5; ++i)
        responses.push_back(submit(task, request("q" + std::to_string(i))));
    awaitArrivals(5);
    m_backend.sendDelayedResponses();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(responses[i].get().body, "answer to body of q" + std::to_string(i));
}

// Guards against forwarding a backend server's response that has the identifier of another request.
TEST_F(RequestTaskTest, MismatchedResponseIsDropped)
{
    RequestTask& task = startInstance("e1");
    setBehaviour(Behaviour::RunAndSendOtherId);
    Response response = submitAndWait(task, request("q1", "order-7"));
    EXPECT_EQ(response.outcome, RequestOutcome::Unknown);
    EXPECT_EQ(response.body, "");
    EXPECT_TRUE(hasMetric("lentilsaddle_crossed_answers_dropped_total{service=\"shop\"} 1"));
}

// Guards against losing an outcome that arrives after the caller's deadline: a caller that repeats the request must get
// the response.
TEST_F(RequestTaskTest, LateResponseIsDroppedButItsOutcomeIsRecorded)
{
    RequestTask& task = startInstance("e1");
    setBehaviour(Behaviour::RunAndDelayResponse);
    RequestMessage::ServiceRequest first = request("q1", "order-7");
    first.timeout = std::chrono::milliseconds(50);
    Response response = submitAndWait(task, first);
    EXPECT_EQ(response.outcome, RequestOutcome::Unknown);
    EXPECT_EQ(response.reason, "deadline_passed");
    std::future<Response> repeated = submit(task, request("q2", "order-7"));
    m_backend.sendDelayedResponses();
    response = repeated.get();
    EXPECT_EQ(response.outcome, RequestOutcome::Done);
    EXPECT_EQ(response.body, "answer to body of q1");
    EXPECT_EQ(submitAndWait(task, request("q3", "order-7")).body, "answer to body of q1");
    EXPECT_EQ(m_backend.totalRuns(), 1);
    EXPECT_TRUE(hasMetric("lentilsaddle_late_answers_dropped_total{service=\"shop\"} 1"));
}

// Guards against a retry storm when every attempt fails: 50 requests in one window allow 10 %, that is 5 retries.
TEST_F(RequestTaskTest, RetriesAreBoundedWhenEverythingFails)
{
    m_clockStopped = true;
    RequestTask& task = startInstance("e1", { .outliers = { .failuresToEject = 1000 } });
    setBehaviour(Behaviour::RunAndSendOtherId);
    std::vector<std::future<Response>> responses;
    responses.reserve(50);
    for (int i = 0; i < 50; ++i)
        responses.push_back(submit(task, request("q" + std::to_string(i))));
    for (std::future<Response>& response : responses)
        EXPECT_EQ(response.get().outcome, RequestOutcome::Unknown);
    EXPECT_EQ(m_backend.arrivals(), 55);
    EXPECT_TRUE(hasMetric("lentilsaddle_request_retries_total{reason=\"answer_lost\",service=\"shop\"} 5"));
    EXPECT_TRUE(hasMetric("lentilsaddle_requests_total{outcome=\"unknown\",reason=\"answer_lost\"} 50"));
}

// Guards against the outcome not run when the last attempt was refused but an earlier one may have run. With an idle
// connection, the HTTP client itself resends to the closed port.
TEST_F(RequestTaskTest, EarlierAttemptThatMayHaveRunMakesTheOutcomeUnknown)
{
    for (bool idleConnection : { false, true }) {
        FakeBackend stopping;
        RequestTask& task = startInstance("e1", {}, { backendServer("r1", stopping.address()) });
        if (idleConnection)
            submitAndWait(task, request("warm-up"));
        stopping.setBehaviour([](const transport::HttpRequest&) { return Behaviour::RunAndStopServer; });
        RequestMessage::ServiceRequest dropped = request("q1");
        dropped.timeout = std::chrono::milliseconds(300);
        EXPECT_EQ(submitAndWait(task, dropped).outcome, RequestOutcome::Unknown) << idleConnection;
        EXPECT_EQ(stopping.runs("q1"), 1);
    }
}

// Guards against a second dispatch when a caller repeats a request before the response to the first one.
TEST_F(RequestTaskTest, RequestsWithTheSameKeyShareOneRun)
{
    RequestTask& task = startInstance("e1");
    setBehaviour(Behaviour::RunAndDelayResponse);
    std::future<Response> first = submit(task, request("q1", "order-7"));
    std::future<Response> second = submit(task, request("q2", "order-7"));
    awaitArrivals(1);
    m_backend.sendDelayedResponses();
    EXPECT_EQ(first.get().body, "answer to body of q1");
    EXPECT_EQ(second.get().body, "answer to body of q1");
    EXPECT_EQ(m_backend.totalRuns(), 1);
}

// Guards against a planned shutdown that aborts a request in flight.
TEST_F(RequestTaskTest, DrainWaitsForTheLastResponse)
{
    RequestTask& task = startInstance("e1");
    setBehaviour(Behaviour::RunAndDelayResponse);
    std::future<Response> inFlight = submit(task, request("q1", "order-7"));
    awaitArrivals(1);
    std::atomic<bool> drained = false;
    task.post({ .body = RequestMessage::Drain { .onDrained = [&] { drained = true; } } });
    Response refused = submitAndWait(task, request("q2"));
    EXPECT_EQ(refused.outcome, RequestOutcome::NotRun);
    EXPECT_EQ(refused.reason, "draining");
    EXPECT_FALSE(drained);
    m_backend.sendDelayedResponses();
    EXPECT_EQ(inFlight.get().outcome, RequestOutcome::Done);
    drain(task);
    EXPECT_TRUE(drained);
    EXPECT_TRUE(std::holds_alternative<state::Record::RequestEnded>(m_log.records("requests.shop").back().body));
}

// Guards against new requests to a leaving backend server, whether it announces this itself or the instance list shows
// it.
TEST_F(RequestTaskTest, LeavingBackendServerGetsNoRequests)
{
    FakeBackend other;
    std::vector<state::InstanceInfo> backendServers { backendServer("r1", m_backend.address()),
        backendServer("r2", other.address()) };
    RequestTask& task = startInstance("e1", {}, backendServers);
    setBehaviour(Behaviour::RunAndAnnounceShutdown);
    other.setBehaviour([](const transport::HttpRequest&) { return Behaviour::Respond; });
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(submitAndWait(task, request("q" + std::to_string(i))).outcome, RequestOutcome::Done);
    EXPECT_EQ(m_backend.arrivals(), 1);
    backendServers[1].state = state::InstanceInfo::State::Leaving;
    task.post({ .body = RequestMessage::Instances { .instances = backendServers } });
    int before = other.arrivals();
    RequestMessage::ServiceRequest waiting = request("q20");
    waiting.timeout = std::chrono::milliseconds(50);
    EXPECT_EQ(submitAndWait(task, waiting).outcome, RequestOutcome::NotRun);
    EXPECT_EQ(other.arrivals(), before);
}

// Guards against a backend server that fails every request at once and, being the least loaded, attracts most of them.
TEST_F(RequestTaskTest, FailingBackendServerIsEjected)
{
    m_clockStopped = true;
    FakeBackend failing;
    failing.setBehaviour([](const transport::HttpRequest&) { return Behaviour::RunAndFail; });
    RequestTask& task
        = startInstance("e1", {}, { backendServer("r1", m_backend.address()), backendServer("r2", failing.address()) });
    for (int i = 0; i < 100; ++i)
        submitAndWait(task, request("q" + std::to_string(i)));
    EXPECT_EQ(failing.arrivals(), OutlierDetectorOptions().failuresToEject);
    EXPECT_TRUE(hasMetric("lentilsaddle_runner_ejections_total{runner=\"r2\",service=\"shop\"} 1"));
}

// Guards against a ledger that a new instance cannot replay because its records have expired, and against winning a
// claim while records of the stream are missing.
TEST_F(RequestTaskTest, SnapshotsAreAppendedAndAGapRefusesRequests)
{
    RequestTask& task = startInstance("e1", { .snapshotRecords = 20 });
    auto snapshots = [this] {
        auto records = m_log.records("requests.shop");
        return std::count_if(records.begin(), records.end(), [](const state::Record& record) {
            return std::holds_alternative<state::Record::RequestSnapshot>(record.body);
        });
    };
    for (int i = 0; i < 100; ++i)
        submitAndWait(task, request("q" + std::to_string(i), "order-" + std::to_string(i)));
    EXPECT_GE(snapshots(), 1);
    EXPECT_LE(snapshots(), 200 / 20);
    auto before = snapshots();
    setLogReachable(false);
    setLogReachable(true);
    submitAndWait(task, request("q", "order-0"));
    EXPECT_EQ(snapshots(), before + 1);
    // The start of the stream has expired; then a snapshot in two parts is read.
    state::ServiceId shop("shop");
    task.post({ .body = RequestMessage::LogBatch {
                    .service = shop, .batch = { .firstOffset = 1000, .nextOffset = 1000, .gap = true } } });
    EXPECT_EQ(submitAndWait(task, request("q", "order-0")).reason, "ledger_incomplete");
    state::Origin writer { state::InstanceId("e9"), 1, 1 };
    state::Record::RequestSnapshotEntry taken { .key = state::KeyDigest::of("bilbao", "shop", "order-0"),
        .issuer = writer };
    state::Record::RequestSnapshot whole { .entries = { taken, taken }, .nextOffset = 1000 };
    state::StreamBatch batch { .firstOffset = 1000, .nextOffset = 1002 };
    for (const state::Record::RequestSnapshot& part : state::RequestSnapshotParts::split(whole, 1))
        batch.entries.push_back({ 1000 + part.part, { writer, part } });
    task.post({ .body = RequestMessage::LogBatch { .service = shop, .batch = batch } });
    EXPECT_EQ(submitAndWait(task, request("q", "order-0")).reason, "claimed_by_another_attempt");
}

} // namespace lentilsaddle::coordination
