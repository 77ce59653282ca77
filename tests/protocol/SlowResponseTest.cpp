#include "protocol/InstanceListClient.h"
#include "protocol/LogClient.h"
#include "protocol/WorkerDirectory.h"
#include "tests/transport/DrippingServer.h"
#include "transport/EventLoop.h"
#include "transport/HttpClient.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

using std::chrono::milliseconds;
using testing_support::DrippingServer;

namespace {

    // The transfer of each response takes several times the timeout of the call.
    constexpr milliseconds timeout { 150 };
    constexpr milliseconds byteInterval { 12 };

} // namespace

// Guards against a batch of log records that is never read because its transfer takes longer than the timeout.
TEST(SlowResponse, LogRecordsAreRead)
{
    DrippingServer server({ .body = R"({"oldest_offset":0,"next_offset":1,"records":[{"offset":0,"data":"YWI="}]})",
        .interval = byteInterval });
    transport::EventLoop loop([] {});
    LogClient client(loop, server.url());
    LogClient::ReadResult result;
    client.read("jobs", 0, 10, milliseconds(0), timeout, [&](LogClient::ReadResult read) {
        result = std::move(read);
        loop.requestStop();
    });
    loop.run();
    EXPECT_EQ(result.status, LogClient::ReadResult::Status::Records) << result.error;
    EXPECT_EQ(result.nextOffset, 1U);
}

// Guards against a list of instances that is never read because it has grown.
TEST(SlowResponse, InstanceListIsRead)
{
    DrippingServer server(
        { .body = R"({"instances":[{"name":"e-1","data_centre":"d","address":"10.0.0.1:80","kind":"entry",
        "state":"live"}]})",
            .interval = byteInterval });
    transport::EventLoop loop([] {});
    InstanceListClient client(loop, server.url());
    std::optional<std::vector<state::InstanceInfo>> instances;
    client.read(timeout, [&](auto list) {
        instances = std::move(list);
        loop.requestStop();
    });
    loop.run();
    ASSERT_TRUE(instances);
    EXPECT_EQ(instances->size(), 1U);
}

// Guards against a list of workers that is never read because it has grown.
TEST(SlowResponse, WorkerListIsRead)
{
    DrippingServer server({ .body = R"({"workers":[{"id":"w-1","rack":"r","accelerators":8,"address":"10.0.0.1:80"}]})",
        .interval = byteInterval });
    transport::EventLoop loop([] {});
    transport::HttpClient http(loop, {});
    WorkerDirectory directory(http, server.url(), timeout);
    std::optional<std::vector<state::Worker>> workers;
    directory.read(state::DataCentreId("d"), [&](auto list) {
        workers = std::move(list);
        loop.requestStop();
    });
    loop.run();
    ASSERT_TRUE(workers);
    EXPECT_EQ(workers->size(), 1U);
}

} // namespace lentilsaddle::protocol
