#include "protocol/WorkerClient.h"

#include "transport/EventLoop.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

namespace {

    using Status = WorkerResponse::Status;

    class WorkerClientTest : public testing::Test {
    protected:
        /// Starts a task at a worker that gives that response.
        WorkerResponse callWith(int status, const std::string& body)
        {
            transport::EventLoop loop([] {});
            transport::HttpServer server(loop, {}, [&](const transport::HttpRequest& request, const auto& respond) {
                m_request = request;
                respond({ .status = status, .headers = {}, .body = body });
            });
            transport::HttpClient http(loop, {});
            WorkerClient client(http, std::chrono::seconds(10));
            WorkerResponse result;
            state::Worker worker { .id = state::WorkerId("w"),
                .address = "127.0.0.1:" + std::to_string(server.port()) };
            WorkerLease lease { .job = state::JobId("j"), .attempt = 2, .token = { .epoch = 3, .sequence = 4 } };
            client.renew(worker, 5, { lease }, std::chrono::seconds(30), [&](const WorkerResponse& answer) {
                result = answer;
                loop.requestStop();
            });
            loop.run();
            return result;
        }

        transport::HttpRequest m_request;
    };

} // namespace

// Guards against an answer that tells nothing about the call being taken for a refusal, which allows another start.
TEST_F(WorkerClientTest, OnlyAClearRefusalIsOne)
{
    EXPECT_EQ(callWith(409, R"({"error":"fenced","epoch":9})").status, Status::Fenced);
    EXPECT_EQ(callWith(409, R"({"error":"no_lease","epoch":9})").status, Status::NoLease);
    EXPECT_EQ(callWith(409, R"({"error":"occupied","epoch":9})").status, Status::Occupied);
    EXPECT_EQ(callWith(404, R"({"error":"unknown_worker"})").status, Status::Refused);
    EXPECT_EQ(callWith(500, R"({"error":"no_lease"})").status, Status::Unknown);
    EXPECT_EQ(callWith(200, "no JSON").status, Status::Unknown);
    EXPECT_EQ(callWith(409, "no JSON").status, Status::Unknown);
}

// Guards against a renewal that a worker reads differently, and against a lost end of a task.
TEST_F(WorkerClientTest, RenewalCarriesLeasesAndReportsTasks)
{
    WorkerResponse answer = callWith(200, R"({"renewed":["a"],"lost":["b"],"tasks":[{"job":"j","attempt":2,"epoch":3,
        "sequence":4,"state":"failed","accelerators":[0,1],"reason":"exit 1"}]})");
    EXPECT_EQ(m_request.path, "/workers/w/renew");
    EXPECT_EQ(m_request.body, R"({"epoch":5,"leases":[{"attempt":2,"job":"j","sequence":4}],"ttl_ms":30000})");
    EXPECT_EQ(answer.renewed, (std::vector { state::JobId("a") }));
    EXPECT_EQ(answer.lost, (std::vector { state::JobId("b") }));
    ASSERT_EQ(answer.tasks.size(), 1U);
    EXPECT_EQ(answer.tasks.front().state, state::WorkerTask::State::Failed);
    EXPECT_EQ(answer.tasks.front().token, (state::FencingToken { .epoch = 3, .sequence = 4 }));
    EXPECT_EQ(answer.tasks.front().reason, "exit 1");
}

} // namespace lentilsaddle::protocol
