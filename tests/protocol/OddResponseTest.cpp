#include "protocol/InstanceListClient.h"
#include "protocol/LogClient.h"
#include "tests/protocol/OddDocuments.h"
#include "transport/EventLoop.h"
#include "transport/HttpServer.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds timeout { 2'000 };

    // Serves the variants of one document, a variant for each request.
    class OddResponse : public testing::Test {
    protected:
        void serve(const json& document)
        {
            m_documents = testing_support::documentsWithOneOddValue(document);
            m_server = std::make_unique<transport::HttpServer>(m_loop, transport::HttpServerOptions {},
                [this](const transport::HttpRequest&, const transport::HttpResponder& respond) {
                    respond({ .status = 200, .body = m_documents.at(m_next++) });
                });
        }

        std::string url() const { return "http://127.0.0.1:" + std::to_string(m_server->port()); }

        // Calls again until all variants have been served.
        void again(const std::function<void()>& call)
        {
            if (m_next < m_documents.size())
                call();
            else
                m_loop.requestStop();
        }

        transport::EventLoop m_loop { [] {} };
        std::unique_ptr<transport::HttpServer> m_server;
        std::vector<std::string> m_documents;
        std::size_t m_next = 0;
    };

} // namespace

// Guards against a list of instances that ends the process, or an instance with a port out of range.
TEST_F(OddResponse, InstanceListIsSkippedOrPlausible)
{
    serve(json::parse(R"({"instances":[{"name":"e-1","data_centre":"d","address":"10.0.0.1:80","kind":"entry",
        "state":"live","service":"s"}]})"));
    InstanceListClient client(m_loop, url());
    std::function<void()> call = [&] {
        client.read(timeout, [&](const auto& list) {
            for (const state::InstanceInfo& instance : list.value_or(std::vector<state::InstanceInfo>()))
                EXPECT_EQ(instance.address, "10.0.0.1:80");
            again(call);
        });
    };
    call();
    m_loop.run();
}

// Guards against a batch of log records that ends the process.
TEST_F(OddResponse, LogRecordsAreReadOrFailed)
{
    serve(json::parse(R"({"oldest_offset":0,"next_offset":1,"records":[{"offset":0,"data":"YWI="}]})"));
    LogClient client(m_loop, url());
    std::function<void()> call
        = [&] { client.read("jobs", 0, 10, milliseconds(0), timeout, [&](const auto&) { again(call); }); };
    call();
    m_loop.run();
}

} // namespace lentilsaddle::protocol
