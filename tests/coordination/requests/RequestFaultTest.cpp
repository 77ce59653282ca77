#include "tests/coordination/requests/RequestTaskFixture.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace lentilsaddle::coordination {

namespace {

    using Behaviour = FakeBackend::Behaviour;
    using Fault = FakeLog::Fault;
    using state::RequestOutcome;

    enum class FaultAction {
        Nothing,
        /// Pauses the process until after the deadline.
        Pause,
        /// Pauses the process until another instance has handled a request with the same key; to that instance the
        /// process appears to be gone.
        Hang,
        /// Inserts a claim of another process into the stream.
        LoseClaim,
    };

    constexpr std::array<std::string_view, 5> faultPoints { "request.before_claim", "request.after_claim",
        "request.before_hand_over", "request.after_hand_over", "request.before_outcome" };

    struct Case {
        std::string_view faultPoint;
        FaultAction faultAction = FaultAction::Nothing;
        Behaviour behaviour = Behaviour::Respond;
        Fault claimFault = Fault::None;
        Fault outcomeFault = Fault::None;
        bool closedPort = false;
    };

    std::ostream& operator<<(std::ostream& out, const Case& test)
    {
        return out << "step " << test.faultPoint << ' ' << static_cast<int>(test.faultAction) << ", behaviour "
                   << static_cast<int>(test.behaviour) << ", claim fault " << static_cast<int>(test.claimFault)
                   << ", outcome fault " << static_cast<int>(test.outcomeFault) << ", closed " << test.closedPort;
    }

    std::vector<Case> allCases()
    {
        std::vector<Case> cases;
        for (std::string_view point : faultPoints) {
            for (FaultAction faultAction : { FaultAction::Pause, FaultAction::Hang, FaultAction::LoseClaim })
                cases.push_back({ .faultPoint = point, .faultAction = faultAction });
            for (Behaviour behaviour : { Behaviour::RunAndDisconnect, Behaviour::Refuse })
                cases.push_back({ .faultPoint = point, .faultAction = FaultAction::Pause, .behaviour = behaviour });
        }
        for (Fault fault :
            { Fault::None, Fault::Refuse, Fault::LoseResponse, Fault::Duplicate, Fault::Drop, Fault::Late }) {
            for (Behaviour behaviour : { Behaviour::Respond, Behaviour::Refuse, Behaviour::RunAndDisconnect,
                     Behaviour::RunAndDelayResponse, Behaviour::RunAndSendOtherId }) {
                cases.push_back({ .behaviour = behaviour, .claimFault = fault });
                cases.push_back({ .behaviour = behaviour, .outcomeFault = fault });
            }
            cases.push_back({ .claimFault = fault, .closedPort = true });
            cases.push_back({ .outcomeFault = fault, .closedPort = true });
        }
        return cases;
    }

    class RequestFaultTest : public RequestTaskFixture, public testing::WithParamInterface<Case> {
    protected:
        static RequestTaskOptions options()
        {
            return {
                .lateResponseGrace = std::chrono::milliseconds(50),
                .outcomeRetryDelay = std::chrono::milliseconds(20),
            };
        }

        static RequestMessage::ServiceRequest shortRequest(const std::string& id)
        {
            RequestMessage::ServiceRequest result = request(id, "order-7");
            result.timeout = std::chrono::milliseconds(150);
            return result;
        }

        static RequestMessage::ServiceRequest warmUp()
        {
            RequestMessage::ServiceRequest result = request("warm-up");
            result.timeout = std::chrono::milliseconds(150);
            return result;
        }

        RequestTask& startFirstInstance()
        {
            if (!GetParam().closedPort)
                return startInstance("e1", options());
            FakeBackend closed;
            closed.close();
            return startInstance("e1", options(), { backendServer("r1", closed.address()) });
        }

        void installFaults()
        {
            m_backend.setBehaviour([](const transport::HttpRequest& received) {
                return received.headers.at("request-id") == "q1" ? GetParam().behaviour : Behaviour::Respond;
            });
            m_log.setFault([this](const state::Record& record) {
                if (m_faultsEnded || record.origin.instance != state::InstanceId("e1"))
                    return Fault::None;
                if (std::holds_alternative<state::Record::RequestClaim>(record.body))
                    return GetParam().claimFault;
                return GetParam().outcomeFault;
            });
            m_atFaultPoint = [this](const std::string& instance, std::string_view point) {
                if (instance == "e1" && point == GetParam().faultPoint && !m_reached.exchange(true))
                    triggerFault();
            };
        }

        void triggerFault()
        {
            m_faultPointReached.set_value();
            if (GetParam().faultAction == FaultAction::Pause)
                m_clockOffset = std::chrono::hours(1);
            if (GetParam().faultAction == FaultAction::Hang)
                m_resume.get_future().wait();
            if (GetParam().faultAction == FaultAction::LoseClaim)
                m_log.append("requests.shop",
                    { { state::InstanceId("e9"), 99, 1 },
                        state::Record::RequestClaim { .key = state::KeyDigest::of("bilbao", "shop", "order-7"),
                            .request = state::RequestId("q9") } });
        }

        static bool pausedBeforeDispatch()
        {
            return std::find(faultPoints.begin(), faultPoints.begin() + 3, GetParam().faultPoint)
                != faultPoints.begin() + 3;
        }

        void expectConsistentWithRuns(const std::string& id, const Response& response)
        {
            EXPECT_LE(m_backend.runs("order-7"), 1);
            EXPECT_TRUE(response.outcome != RequestOutcome::NotRun || m_backend.runs(id) == 0) << id;
            EXPECT_TRUE(response.outcome != RequestOutcome::Done || m_backend.runs("order-7") == 1) << id;
        }

        std::atomic<bool> m_faultsEnded = false;
        std::atomic<bool> m_reached = false;
        std::promise<void> m_faultPointReached;
        std::promise<void> m_resume;
    };

} // namespace

// Guards against the outcome not run for a request that ran, and against a second run of a non-repeatable request, when
// a fault occurs at any step and the caller then repeats the request at the same and at another instance.
TEST_P(RequestFaultTest, ReportsTrueOutcomesAndRunsNothingTwice)
{
    RequestTask& first = startFirstInstance();
    RequestTask& second = startInstance("e2", options());
    // Leaves an idle connection. If a non-repeatable request reused it, the HTTP client could resend the request
    // silently.
    submitAndWait(first, warmUp());
    installFaults();
    std::future<Response> pending = submit(first, shortRequest("q1"));
    if (GetParam().faultAction == FaultAction::Hang) {
        m_faultPointReached.get_future().wait();
        expectConsistentWithRuns("q2", submitAndWait(second, shortRequest("q2")));
        m_clockOffset = std::chrono::hours(1);
        m_resume.set_value();
    }
    Response response = pending.get();
    expectConsistentWithRuns("q1", response);
    Response atOtherInstance = submitAndWait(second, shortRequest("q3"));
    expectConsistentWithRuns("q3", atOtherInstance);
    m_faultsEnded = true;
    m_log.releaseDelayed();
    m_backend.sendDelayedResponses();
    expectConsistentWithRuns("q4", submitAndWait(first, shortRequest("q4")));
    drain(first);
    expectConsistentWithRuns("q5", submitAndWait(second, shortRequest("q5")));
    drain(second);
    expectConsistentWithRuns("q1", response);
    expectConsistentWithRuns("q3", atOtherInstance);
    if (GetParam().faultAction == FaultAction::Pause && pausedBeforeDispatch()) {
        EXPECT_EQ(m_backend.runs("q1"), 0) << "dispatched after the deadline";
        EXPECT_EQ(atOtherInstance.outcome, RequestOutcome::Done) << "the key was not released";
    }
}

INSTANTIATE_TEST_SUITE_P(All, RequestFaultTest, testing::ValuesIn(allCases()));

} // namespace lentilsaddle::coordination
