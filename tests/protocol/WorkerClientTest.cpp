#include "protocol/WorkerClient.h"

#include "state/GangShape.h"
#include "tests/protocol/OddDocuments.h"
#include "transport/EventLoop.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

namespace {

    using Status = WorkerResponse::Status;

    class WorkerClientTest : public testing::Test {
    protected:
        /// Renews a lease at a worker that sends this response.
        WorkerResponse renewWith(int status, const std::string& body)
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
            client.renew(worker, 5, { lease }, std::chrono::seconds(30), [&](const WorkerResponse& response) {
                result = response;
                loop.requestStop();
            });
            loop.run();
            return result;
        }

        transport::HttpRequest m_request;
    };

} // namespace

// Guards against an inconclusive response being treated as a refusal, which permits another start.
TEST_F(WorkerClientTest, InconclusiveResponseIsNotARefusal)
{
    EXPECT_EQ(renewWith(409, R"({"error":"fenced","epoch":9})").status, Status::Fenced);
    EXPECT_EQ(renewWith(409, R"({"error":"no_lease","epoch":9})").status, Status::NoLease);
    EXPECT_EQ(renewWith(409, R"({"error":"occupied","epoch":9})").status, Status::Occupied);
    EXPECT_EQ(renewWith(404, R"({"error":"unknown_worker"})").status, Status::Refused);
    EXPECT_EQ(renewWith(500, R"({"error":"no_lease"})").status, Status::Unknown);
    EXPECT_EQ(renewWith(200, "no JSON").status, Status::Unknown);
    EXPECT_EQ(renewWith(409, "no JSON").status, Status::Unknown);
}

// Guards against a renewal request that workers cannot decode, and against the end of a task going unnoticed.
TEST_F(WorkerClientTest, RenewalCarriesLeasesAndReportsTasks)
{
    WorkerResponse response = renewWith(200, R"({"renewed":["a"],"lost":["b"],"tasks":[{"job":"j","attempt":2,"epoch":3,
        "sequence":4,"state":"failed","accelerators":[0,1],"reason":"exit 1"}]})");
    EXPECT_EQ(m_request.path, "/workers/w/renew");
    EXPECT_EQ(m_request.body, R"({"epoch":5,"leases":[{"attempt":2,"job":"j","sequence":4}],"ttl_ms":30000})");
    EXPECT_EQ(response.renewed, (std::vector { state::JobId("a") }));
    EXPECT_EQ(response.lost, (std::vector { state::JobId("b") }));
    ASSERT_EQ(response.tasks.size(), 1U);
    EXPECT_EQ(response.tasks.front().state, state::WorkerTask::State::Failed);
    EXPECT_EQ(response.tasks.front().token, (state::FencingToken { .epoch = 3, .sequence = 4 }));
    EXPECT_EQ(response.tasks.front().reason, "exit 1");
}

// Guards against a response of a worker that ends the process, or whose accelerators do not exist.
TEST_F(WorkerClientTest, OddResponseIsUnknownOrPlausible)
{
    auto document = nlohmann::json::parse(R"({"epoch":9,"renewed":["a"],"lost":["b"],"tasks":[{"job":"j","attempt":2,
        "epoch":3,"sequence":4,"state":"failed","accelerators":[0,1],"reason":"exit 1"}]})");
    for (const std::string& text : testing_support::documentsWithOneOddValue(document)) {
        WorkerResponse response = renewWith(200, text);
        if (response.status != Status::Ok)
            continue;
        for (const state::WorkerTask& task : response.tasks) {
            for (int accelerator : task.accelerators) {
                EXPECT_GE(accelerator, 0) << text.substr(0, 300);
                EXPECT_LT(accelerator, state::maximumAcceleratorsPerTask) << text.substr(0, 300);
            }
        }
    }
}

} // namespace lentilsaddle::protocol
