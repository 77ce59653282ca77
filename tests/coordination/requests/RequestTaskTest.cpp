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
        void behave(Behaviour behaviour)
        {
            m_backend.setBehaviour([behaviour](const transport::HttpRequest&) { return behaviour; });
        }

        /// Waits until the backend server has received this many requests.
        void awaitArrivals(int count) const
        {
            while (m_backend.arrivals() < count)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    };

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

// Guards against telling "not run" for a key that ran elsewhere, by an instance that has not read the stream yet.
TEST_F(RequestTaskTest, RequestWaitsUntilTheStreamIsRead)
{
    EXPECT_EQ(ask(startInstance("e1"), request("q1", "order-7")).outcome, RequestOutcome::Done);
    m_log.holdFirstBatches();
    RequestTask& late = startInstance("e2");
    std::future<Answer> again = submit(late, request("q2", "order-7"));
    std::future<Answer> other = submit(late, request("q3", "order-8"));
    ask(late, request("q4"));
    m_log.releaseFirstBatches();
    EXPECT_EQ(again.get().outcome, RequestOutcome::Done);
    EXPECT_EQ(other.get().outcome, RequestOutcome::Done);
    EXPECT_EQ(m_backend.runs("order-7"), 1);
    EXPECT_EQ(m_backend.runs("order-8"), 1);
}

// Guards against handing over without a claim when the log cannot keep one.
TEST_F(RequestTaskTest, NonRepeatableRequestIsRefusedWhileTheLogIsUnavailable)
{
    RequestTask& task = startInstance("e1");
    setLogReachable(false);
    Answer answer = ask(task, request("q1", "order-7"));
    EXPECT_EQ(answer.outcome, RequestOutcome::NotRun);
    EXPECT_EQ(answer.reason, "log_unavailable");
    EXPECT_EQ(ask(task, request("q2")).outcome, RequestOutcome::Done);
    EXPECT_EQ(m_backend.totalRuns(), 1);
}

// Guards against answers given to the wrong caller when they come in another order than the requests.
TEST_F(RequestTaskTest, AnswersInReverseOrderReachTheirCallers)
{
    RequestTask& task = startInstance("e1");
    behave(Behaviour::RunAndDelayResponse);
    std::vector<std::future<Answer>> answers;
    answers.reserve(5);
    for (int i = 0; i < 5; ++i)
        answers.push_back(submit(task, request("q" + std::to_string(i))));
    awaitArrivals(5);
    m_backend.sendDelayedResponses();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(answers[i].get().body, "answer to body of q" + std::to_string(i));
}

// Guards against the answer of another request being passed on.
TEST_F(RequestTaskTest, CrossedAnswerIsDropped)
{
    RequestTask& task = startInstance("e1");
    behave(Behaviour::RunAndSendOtherId);
    Answer answer = ask(task, request("q1", "order-7"));
    EXPECT_EQ(answer.outcome, RequestOutcome::Unknown);
    EXPECT_EQ(answer.body, "");
    EXPECT_TRUE(hasMetric("lentilsaddle_crossed_answers_dropped_total{service=\"shop\"} 1"));
}

// Guards against losing an outcome that comes after the caller's deadline: the caller who asks again gets the answer.
TEST_F(RequestTaskTest, LateAnswerIsDroppedButItsOutcomeIsKept)
{
    RequestTask& task = startInstance("e1");
    behave(Behaviour::RunAndDelayResponse);
    RequestMessage::ServiceRequest first = request("q1", "order-7");
    first.timeout = std::chrono::milliseconds(50);
    Answer answer = ask(task, first);
    EXPECT_EQ(answer.outcome, RequestOutcome::Unknown);
    EXPECT_EQ(answer.reason, "deadline_passed");
    std::future<Answer> again = submit(task, request("q2", "order-7"));
    m_backend.sendDelayedResponses();
    answer = again.get();
    EXPECT_EQ(answer.outcome, RequestOutcome::Done);
    EXPECT_EQ(answer.body, "answer to body of q1");
    EXPECT_EQ(ask(task, request("q3", "order-7")).body, "answer to body of q1");
    EXPECT_EQ(m_backend.totalRuns(), 1);
    EXPECT_TRUE(hasMetric("lentilsaddle_late_answers_dropped_total{service=\"shop\"} 1"));
}

// Guards against a flood of retries when everything fails: 50 requests get 10%, 5 retries, in one window.
TEST_F(RequestTaskTest, RetriesAreBoundedWhenEverythingFails)
{
    m_frozen = true;
    RequestTask& task = startInstance("e1", { .outliers = { .failuresToEject = 1000 } });
    behave(Behaviour::RunAndSendOtherId);
    std::vector<std::future<Answer>> answers;
    answers.reserve(50);
    for (int i = 0; i < 50; ++i)
        answers.push_back(submit(task, request("q" + std::to_string(i))));
    for (std::future<Answer>& answer : answers)
        EXPECT_EQ(answer.get().outcome, RequestOutcome::Unknown);
    EXPECT_EQ(m_backend.arrivals(), 55);
    EXPECT_TRUE(hasMetric("lentilsaddle_request_retries_total{reason=\"answer_lost\",service=\"shop\"} 5"));
    EXPECT_TRUE(hasMetric("lentilsaddle_requests_total{outcome=\"unknown\",reason=\"answer_lost\"} 50"));
}

// Guards against "not run" when the last attempt was refused but an earlier one may have run. The kept connection
// makes the client itself send again to the closed port.
TEST_F(RequestTaskTest, EarlierAttemptThatMayHaveRunIsNotForgotten)
{
    for (bool keptConnection : { false, true }) {
        FakeBackend dying;
        RequestTask& task = startInstance("e1", {}, { runner("r1", dying.address()) });
        if (keptConnection)
            ask(task, request("warm-up"));
        dying.setBehaviour([](const transport::HttpRequest&) { return Behaviour::RunAndStopServer; });
        RequestMessage::ServiceRequest dropped = request("q1");
        dropped.timeout = std::chrono::milliseconds(300);
        EXPECT_EQ(ask(task, dropped).outcome, RequestOutcome::Unknown) << keptConnection;
        EXPECT_EQ(dying.runs("q1"), 1);
    }
}

// Guards against a second hand-over when a caller repeats a request before the first is answered.
TEST_F(RequestTaskTest, RequestsWithTheSameKeyShareOneRun)
{
    RequestTask& task = startInstance("e1");
    behave(Behaviour::RunAndDelayResponse);
    std::future<Answer> first = submit(task, request("q1", "order-7"));
    std::future<Answer> second = submit(task, request("q2", "order-7"));
    awaitArrivals(1);
    m_backend.sendDelayedResponses();
    EXPECT_EQ(first.get().body, "answer to body of q1");
    EXPECT_EQ(second.get().body, "answer to body of q1");
    EXPECT_EQ(m_backend.totalRuns(), 1);
}

// Guards against a planned stop that cuts a request.
TEST_F(RequestTaskTest, DrainWaitsForTheLastAnswer)
{
    RequestTask& task = startInstance("e1");
    behave(Behaviour::RunAndDelayResponse);
    std::future<Answer> inHand = submit(task, request("q1", "order-7"));
    awaitArrivals(1);
    std::atomic<bool> drained = false;
    task.post({ .body = RequestMessage::Drain { .onDrained = [&] { drained = true; } } });
    Answer refused = ask(task, request("q2"));
    EXPECT_EQ(refused.outcome, RequestOutcome::NotRun);
    EXPECT_EQ(refused.reason, "draining");
    EXPECT_FALSE(drained);
    m_backend.sendDelayedResponses();
    EXPECT_EQ(inHand.get().outcome, RequestOutcome::Done);
    drain(task);
    EXPECT_TRUE(drained);
    EXPECT_TRUE(std::holds_alternative<state::Record::RequestEnded>(m_log.records("requests.shop").back().body));
}

// Guards against new work for a backend server that leaves, whether it says so itself or the instance list does.
TEST_F(RequestTaskTest, LeavingRunnerGetsNoNewWork)
{
    FakeBackend other;
    std::vector<state::InstanceInfo> runners { runner("r1", m_backend.address()), runner("r2", other.address()) };
    RequestTask& task = startInstance("e1", {}, runners);
    behave(Behaviour::RunAndAnnounceShutdown);
    other.setBehaviour([](const transport::HttpRequest&) { return Behaviour::Respond; });
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(ask(task, request("q" + std::to_string(i))).outcome, RequestOutcome::Done);
    EXPECT_EQ(m_backend.arrivals(), 1);
    runners[1].state = state::InstanceInfo::State::Leaving;
    task.post({ .body = RequestMessage::Instances { .instances = runners } });
    int before = other.arrivals();
    RequestMessage::ServiceRequest waiting = request("q20");
    waiting.timeout = std::chrono::milliseconds(50);
    EXPECT_EQ(ask(task, waiting).outcome, RequestOutcome::NotRun);
    EXPECT_EQ(other.arrivals(), before);
}

// Guards against a runner that answers every request with an error at once and so attracts most of them.
TEST_F(RequestTaskTest, RunnerThatFailsEverythingIsEjected)
{
    m_frozen = true;
    FakeBackend failing;
    failing.setBehaviour([](const transport::HttpRequest&) { return Behaviour::RunAndFail; });
    RequestTask& task = startInstance("e1", {}, { runner("r1", m_backend.address()), runner("r2", failing.address()) });
    for (int i = 0; i < 100; ++i)
        ask(task, request("q" + std::to_string(i)));
    EXPECT_EQ(failing.arrivals(), OutlierDetectorOptions().failuresToEject);
    EXPECT_TRUE(hasMetric("lentilsaddle_runner_ejections_total{runner=\"r2\",service=\"shop\"} 1"));
}

// Guards against a ledger that a new instance cannot replay any more, and against winning a claim with a gap unread.
TEST_F(RequestTaskTest, SnapshotsAreAppendedAndAGapRefuses)
{
    RequestTask& task = startInstance("e1", { .snapshotRecords = 20 });
    auto snapshots = [this] {
        auto records = m_log.records("requests.shop");
        return std::count_if(records.begin(), records.end(), [](const state::Record& record) {
            return std::holds_alternative<state::Record::RequestSnapshot>(record.body);
        });
    };
    for (int i = 0; i < 100; ++i)
        ask(task, request("q" + std::to_string(i), "order-" + std::to_string(i)));
    EXPECT_GE(snapshots(), 1);
    EXPECT_LE(snapshots(), 200 / 20);
    auto before = snapshots();
    setLogReachable(false);
    setLogReachable(true);
    ask(task, request("q", "order-0"));
    EXPECT_EQ(snapshots(), before + 1);
    // The start of the stream has expired, and then a snapshot in two parts appears.
    state::ServiceId shop("shop");
    task.post({ .body = RequestMessage::LogBatch {
                    .service = shop, .batch = { .firstOffset = 1000, .nextOffset = 1000, .gap = true } } });
    EXPECT_EQ(ask(task, request("q", "order-0")).reason, "ledger_incomplete");
    state::Origin writer { state::InstanceId("e9"), 1, 1 };
    state::Record::RequestSnapshotEntry taken { .key = state::KeyDigest::of("bilbao", "shop", "order-0"),
        .issuer = writer };
    state::Record::RequestSnapshot whole { .entries = { taken, taken }, .nextOffset = 1000 };
    state::StreamBatch batch { .firstOffset = 1000, .nextOffset = 1002 };
    for (const state::Record::RequestSnapshot& part : state::RequestSnapshotParts::split(whole, 1))
        batch.entries.push_back({ 1000 + part.part, { writer, part } });
    task.post({ .body = RequestMessage::LogBatch { .service = shop, .batch = batch } });
    EXPECT_EQ(ask(task, request("q", "order-0")).reason, "claimed_by_another_attempt");
}

} // namespace lentilsaddle::coordination
