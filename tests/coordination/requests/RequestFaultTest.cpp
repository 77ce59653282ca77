#include "tests/coordination/requests/RequestTaskFixture.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace lentilsaddle::coordination {

namespace {

    using Behaviour = FakeBackend::Behaviour;
    using Fault = FakeLog::Fault;
    using state::RequestOutcome;

    enum class AtStep {
        Nothing,
        /// The process is paused until after the deadline.
        Pause,
        /// The process is paused until another instance has been asked, or for ever as seen by that one.
        Hang,
        /// Another process's claim is read first.
        LoseClaim,
    };

    constexpr std::array<std::string_view, 5> steps { "request.before_claim", "request.after_claim",
        "request.before_hand_over", "request.after_hand_over", "request.before_outcome" };

    struct Case {
        std::string_view step;
        AtStep atStep = AtStep::Nothing;
        Behaviour behaviour = Behaviour::Respond;
        Fault claimFault = Fault::None;
        Fault outcomeFault = Fault::None;
        bool closedPort = false;
    };

    std::ostream& operator<<(std::ostream& out, const Case& test)
    {
        return out << "step " << test.step << ' ' << static_cast<int>(test.atStep) << ", behaviour "
                   << static_cast<int>(test.behaviour) << ", claim fault " << static_cast<int>(test.claimFault)
                   << ", outcome fault " << static_cast<int>(test.outcomeFault) << ", closed " << test.closedPort;
    }

    std::vector<Case> allCases()
    {
        std::vector<Case> cases;
        for (std::string_view step : steps) {
            for (AtStep atStep : { AtStep::Pause, AtStep::Hang, AtStep::LoseClaim })
                cases.push_back({ .step = step, .atStep = atStep });
            for (Behaviour behaviour : { Behaviour::RunAndDisconnect, Behaviour::Refuse })
                cases.push_back({ .step = step, .atStep = AtStep::Pause, .behaviour = behaviour });
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
                .lateAnswerGrace = std::chrono::milliseconds(50),
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

        RequestTask& startFirst()
        {
            if (!GetParam().closedPort)
                return startInstance("e1", options());
            FakeBackend closed;
            closed.close();
            return startInstance("e1", options(), { runner("r1", closed.address()) });
        }

        void arrange()
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
            m_atStep = [this](const std::string& instance, std::string_view step) {
                if (instance == "e1" && step == GetParam().step && !m_reached.exchange(true))
                    act();
            };
        }

        void act()
        {
            m_stepReached.set_value();
            if (GetParam().atStep == AtStep::Pause)
                m_pause = std::chrono::hours(1);
            if (GetParam().atStep == AtStep::Hang)
                m_resume.get_future().wait();
            if (GetParam().atStep == AtStep::LoseClaim)
                m_log.append("requests.shop",
                    { { state::InstanceId("e9"), 99, 1 },
                        state::Record::RequestClaim { .key = state::KeyDigest::of("bilbao", "shop", "order-7"),
                            .request = state::RequestId("q9") } });
        }

        static bool pausedBeforeHandOver()
        {
            return std::find(steps.begin(), steps.begin() + 3, GetParam().step) != steps.begin() + 3;
        }

        void expectTruth(const std::string& id, const Answer& answer)
        {
            EXPECT_LE(m_backend.runs("order-7"), 1);
            EXPECT_TRUE(answer.outcome != RequestOutcome::NotRun || m_backend.runs(id) == 0) << id;
            EXPECT_TRUE(answer.outcome != RequestOutcome::Done || m_backend.runs("order-7") == 1) << id;
        }

        std::atomic<bool> m_faultsEnded = false;
        std::atomic<bool> m_reached = false;
        std::promise<void> m_stepReached;
        std::promise<void> m_resume;
    };

} // namespace

// Guards against "not run" for a request that ran, and against a second run of a non-repeatable request, when any
// fault strikes at any step and the caller then asks at the same and at another instance.
TEST_P(RequestFaultTest, AnswersAreTrueAndNothingRunsTwice)
{
    RequestTask& first = startFirst();
    RequestTask& second = startInstance("e2", options());
    // Leaves an open connection, on which the client would silently send again if a request reused it.
    ask(first, warmUp());
    arrange();
    std::future<Answer> pending = submit(first, shortRequest("q1"));
    if (GetParam().atStep == AtStep::Hang) {
        m_stepReached.get_future().wait();
        expectTruth("q2", ask(second, shortRequest("q2")));
        m_pause = std::chrono::hours(1);
        m_resume.set_value();
    }
    Answer answer = pending.get();
    expectTruth("q1", answer);
    Answer elsewhere = ask(second, shortRequest("q3"));
    expectTruth("q3", elsewhere);
    m_faultsEnded = true;
    m_log.releaseDelayed();
    m_backend.sendDelayedResponses();
    expectTruth("q4", ask(first, shortRequest("q4")));
    drain(first);
    expectTruth("q5", ask(second, shortRequest("q5")));
    drain(second);
    expectTruth("q1", answer);
    expectTruth("q3", elsewhere);
    if (GetParam().atStep == AtStep::Pause && pausedBeforeHandOver()) {
        EXPECT_EQ(m_backend.runs("q1"), 0) << "handed over after the deadline";
        EXPECT_EQ(elsewhere.outcome, RequestOutcome::Done) << "the key was not released";
    }
}

INSTANTIATE_TEST_SUITE_P(All, RequestFaultTest, testing::ValuesIn(allCases()));

} // namespace lentilsaddle::coordination
