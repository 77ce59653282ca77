#include "protocol/WorkerClient.h"

#include "state/Worker.h"
#include "tests/transport/ScriptedServer.h"
#include "transport/EventLoop.h"
#include "transport/HttpClient.h"

#include <gtest/gtest.h>

#include <optional>

namespace lentilsaddle::protocol {

using testing_support::ScriptedServer;

// Guards against a gang that counts as not started although a task runs: the worker has executed the start, its
// response was lost, and the refusal of an unnoticed second request took its place.
TEST(WorkerClient, StartIsUnknownWhenARefusalWouldFollow)
{
    ScriptedServer server([](int number) -> std::optional<ScriptedServer::Response> {
        if (number == 2)
            return std::nullopt;
        return ScriptedServer::Response { .status = number == 1 ? 200 : 409,
            .body = number == 1 ? R"({"epoch":1,"tasks":[]})" : R"({"error":"occupied","epoch":1})" };
    });
    transport::EventLoop loop([] {});
    transport::HttpClient http(loop, {});
    WorkerClient client(http, std::chrono::milliseconds(2'000));
    state::Worker worker { .id = state::WorkerId("w1"), .address = server.address() };
    auto start = [&] {
        WorkerResponse received;
        client.start(worker, { .job = state::JobId("j"), .attempt = 1 }, "run", [&](const WorkerResponse& response) {
            received = response;
            loop.requestStop();
        });
        loop.run();
        return received.status;
    };
    ASSERT_EQ(start(), WorkerResponse::Status::Ok);
    EXPECT_EQ(start(), WorkerResponse::Status::Unknown);
    EXPECT_EQ(server.requests(), 2);
}

} // namespace lentilsaddle::protocol
