#include "tests/hostile/HostileCrowd.h"
#include "tests/process/ProcessTest.h"
#include "tests/process/TemporaryFolder.h"
#include "tests/soak/SoakCluster.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

namespace lentilsaddle::testing_support {

namespace {

    constexpr std::size_t stoppedShortBytes = 10;
    constexpr std::size_t batchBodyBytes = 255'000;
    constexpr std::size_t apiBodyBytes = 1'000'000;
    constexpr std::size_t pieceBytes = 16'384;
    constexpr std::size_t batchMemoryMegabytes = 80;
    constexpr std::size_t apiMemoryMegabytes = 96;
    constexpr int batchCrowd = 400;
    constexpr int apiCrowd = 120;
    // Connections to the store, workers and backend servers that a process may open while a crowd is connected.
    constexpr std::size_t otherDescriptors = 80;

    // Value of a line of /proc/PID/status, in kilobytes.
    std::size_t memoryKilobytes(const ChildProcess& process, const std::string& name)
    {
        std::ifstream status("/proc/" + std::to_string(process.id()) + "/status");
        std::string key;
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name + ":"))
                return std::stoul(line.substr(name.size() + 1));
        }
        return 0;
    }

    std::size_t openDescriptors(const ChildProcess& process)
    {
        std::filesystem::directory_iterator entries("/proc/" + std::to_string(process.id()) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    void expectBounded(ChildProcess& process, std::size_t descriptorsBefore, int crowd, std::size_t memoryMegabytes)
    {
        ASSERT_FALSE(process.ended()) << "exit code " << process.exitCode();
        std::size_t peak = memoryKilobytes(process, "VmHWM");
        EXPECT_GT(peak, 0U);
        EXPECT_LE(peak, memoryMegabytes * 1'024) << "kilobytes at the peak";
        EXPECT_LE(openDescriptors(process), descriptorsBefore + static_cast<std::size_t>(crowd) + otherDescriptors);
        testing::Test::RecordProperty("peak_kb", std::to_string(peak));
        std::cout << "peak of " << peak << " kB, now " << memoryKilobytes(process, "VmRSS") << " kB" << std::endl;
    }

    void expectDescriptorsReleased(const ChildProcess& process, std::size_t descriptorsBefore)
    {
        ProcessHarness::waitUntil("the connections of the crowd are closed",
            [&] { return openDescriptors(process) <= descriptorsBefore + otherDescriptors; });
    }

    // A batch daemon with a small machine, its store and workers.
    class HostileBatchClientsTest : public testing::Test {
    protected:
        HostileBatchClientsTest()
            : m_folder(makeTemporaryFolder((std::filesystem::temp_directory_path() / "lentilsaddle-hostile-").string()))
            , m_cluster(std::make_unique<soak::SoakCluster>(soak::SoakCluster::Options {
                  .folder = m_folder, .daemons = 1, .workers = 1, .memoryMegabytes = batchMemoryMegabytes }))
        {
        }

        ~HostileBatchClientsTest() override
        {
            m_cluster.reset();
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        }

        void SetUp() override { ASSERT_TRUE(m_cluster->waitUntilReady()); }

        HostileCrowd::Plan plan() const
        {
            return {
                .port = m_cluster->frontPort(0),
                .connections = batchCrowd,
                .header = "POST /q0/00000000000000aa HTTP/1.1\r\nHost: soak.example\r\n",
                .sentBytes = batchBodyBytes - stoppedShortBytes,
                .announcedBytes = batchBodyBytes,
                .completeEvery = 10,
            };
        }

        // The process lives within its bounds, and an ordinary request is served while the crowd is connected.
        void expectServed(const HostileCrowd::Plan& plan)
        {
            std::size_t before = openDescriptors(m_cluster->daemon(0));
            {
                HostileCrowd crowd(plan);
                HttpReply reply = callHttp({ .method = "POST",
                    .port = m_cluster->frontPort(0),
                    .path = "/q0/00000000000000bb",
                    .headers = { { "Host", "soak.example" } },
                    .body = R"({"spec":"{}","steps":[{"count":1,"cpu":100,"mem_mb":16,"gpu":1,"estimate_ms":50}]})" });
                EXPECT_EQ(reply.status, 200) << reply.body << reply.error;
                EXPECT_EQ(callHttp({ .port = m_cluster->readyPort(0), .path = "/-/ready" }).status, 200);
                EXPECT_EQ(callHttp({ .port = m_cluster->metricsPort(0), .path = "/metrics" }).status, 200);
                expectBounded(m_cluster->daemon(0), before, plan.connections, batchMemoryMegabytes);
            }
            if (!HasFatalFailure())
                expectDescriptorsReleased(m_cluster->daemon(0), before);
        }

        std::string m_folder;
        std::unique_ptr<soak::SoakCluster> m_cluster;
    };

    // An entry instance of the product's own API with a small machine.
    class HostileApiClientsTest : public ProcessTest {
    protected:
        HostileApiClientsTest()
            : ProcessTest({ .entriesPerDataCentre = 1,
                .workersPerDataCentre = 1,
                .backendServersPerDataCentre = 1,
                .memoryMegabytes = apiMemoryMegabytes })
        {
        }

        HostileCrowd::Plan plan() const
        {
            return {
                .port = m_harness.entryPort(0),
                .connections = apiCrowd,
                .header = "POST /v1/services/pavoreserva-app/requests HTTP/1.1\r\nHost: a\r\nClient-Account: shops\r\n",
                .sentBytes = apiBodyBytes - stoppedShortBytes,
                .announcedBytes = apiBodyBytes,
                .completeEvery = 10,
            };
        }

        void expectServed(const HostileCrowd::Plan& plan)
        {
            std::size_t before = openDescriptors(m_harness.entry(0));
            {
                HostileCrowd crowd(plan);
                HttpReply reply = request(0, { .id = "ordinary" });
                EXPECT_EQ(reply.status, 200) << reply.body << reply.error;
                expectBounded(m_harness.entry(0), before, plan.connections, apiMemoryMegabytes);
            }
            if (!HasFatalFailure())
                expectDescriptorsReleased(m_harness.entry(0), before);
        }
    };

} // namespace

// Guards against memory of connections times the largest body, when bodies are sent whole.
TEST_F(HostileBatchClientsTest, WholeBodies)
{
    expectServed(plan());
}

// Guards against memory of connections times the largest body, when all bodies grow together.
TEST_F(HostileBatchClientsTest, BodiesInPieces)
{
    HostileCrowd::Plan crowd = plan();
    crowd.pieceBytes = pieceBytes;
    expectServed(crowd);
}

// Guards against bodies without an announced length that escape the limit of the sum.
TEST_F(HostileBatchClientsTest, LargeChunks)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 0;
    crowd.pieceBytes = pieceBytes;
    expectServed(crowd);
}

// Guards against a cost of each chunk beside its bytes.
TEST_F(HostileBatchClientsTest, SmallChunks)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 0;
    crowd.chunkBytes = 8;
    crowd.pieceBytes = pieceBytes;
    expectServed(crowd);
}

// Guards against keeping the bodies of refused requests, and against reading them for ever.
TEST_F(HostileBatchClientsTest, AnnouncedBodiesOverTheLimit)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 64 << 20;
    crowd.sentBytes = 2 << 20;
    crowd.pieceBytes = pieceBytes;
    crowd.completeEvery = 0;
    expectServed(crowd);
}

// Guards against chunked bodies over the limit that are read and kept.
TEST_F(HostileBatchClientsTest, ChunkedBodiesOverTheLimit)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 0;
    crowd.sentBytes = 2 << 20;
    crowd.pieceBytes = pieceBytes;
    crowd.completeEvery = 0;
    expectServed(crowd);
}

// Guards against bodies that take memory beyond the length for which the budget was asked.
TEST_F(HostileBatchClientsTest, ChunkedBodiesWithALength)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 0;
    crowd.conflictingLength = true;
    expectServed(crowd);
}

// Guards against a listener of probes that takes what the clients' listener refuses.
TEST_F(HostileBatchClientsTest, BodiesAtTheReadinessListener)
{
    HostileCrowd::Plan crowd = plan();
    crowd.port = m_cluster->readyPort(0);
    expectServed(crowd);
}

// Guards against the same at the listener of the metrics.
TEST_F(HostileBatchClientsTest, BodiesAtTheMetricsListener)
{
    HostileCrowd::Plan crowd = plan();
    crowd.port = m_cluster->metricsPort(0);
    expectServed(crowd);
}

// Guards against headers that grow until the memory is used up.
TEST_F(HostileBatchClientsTest, EndlessHeaders)
{
    HostileCrowd::Plan crowd = plan();
    crowd.endlessHeader = true;
    crowd.pieceBytes = pieceBytes;
    crowd.completeEvery = 0;
    expectServed(crowd);
}

// Guards against header fields of refused and dropped requests that are kept until their connections end.
TEST_F(HostileBatchClientsTest, ManyHeaderFields)
{
    HostileCrowd::Plan crowd = plan();
    crowd.connections = 1'100;
    for (int field = 0; field < 60; ++field)
        crowd.header += "f" + std::to_string(field) + ": v\r\n";
    expectServed(crowd);
}

// Guards against copies of metrics that are kept for clients that do not read them.
TEST_F(HostileBatchClientsTest, SlowReadersOfMetrics)
{
    HostileCrowd::Plan crowd = plan();
    crowd.port = m_cluster->metricsPort(0);
    crowd.header = "GET /metrics HTTP/1.1\r\nHost: a\r\n";
    crowd.sentBytes = 1;
    crowd.announcedBytes = 1;
    crowd.completeEvery = 1;
    expectServed(crowd);
}

// Guards against limits that clients meet which keep to the documentation: 1,200 of them send 4,000 bytes at once, and
// one sends the largest body.
TEST_F(HostileBatchClientsTest, ClientsInsideTheLimitsAreNotRefused)
{
    HostileCrowd::Plan plan = this->plan();
    plan.connections = 1'190;
    plan.sentBytes = 4'000 - stoppedShortBytes;
    plan.announcedBytes = 4'000;
    plan.completeEvery = 0;
    std::size_t before = memoryKilobytes(m_cluster->daemon(0), "VmRSS");
    HostileCrowd crowd(plan);
    std::string job = R"({"spec":"{}","steps":[{"count":1,"cpu":100,"mem_mb":16,"gpu":1,"estimate_ms":50}]})";
    HttpReply reply = callHttp({ .method = "POST",
        .port = m_cluster->frontPort(0),
        .path = "/q0/00000000000000cc",
        .headers = { { "Host", "soak.example" } },
        .body = job + std::string(262'144 - job.size(), ' ') });
    EXPECT_EQ(reply.status, 200) << reply.body << reply.error;
    std::string metrics = callHttp({ .port = m_cluster->metricsPort(0), .path = "/metrics" }).body;
    EXPECT_NE(metrics.find("lentilsaddle_http_request_memory_bytes"), std::string::npos) << metrics;
    EXPECT_EQ(metrics.find("lentilsaddle_http_refused_total"), std::string::npos) << metrics;
    std::cout << "1,190 connections: from " << before << " to " << memoryKilobytes(m_cluster->daemon(0), "VmRSS")
              << " kB" << std::endl;
}

// Guards against memory of connections times the largest body, when bodies are sent whole.
TEST_F(HostileApiClientsTest, WholeBodies)
{
    expectServed(plan());
}

// Guards against memory of connections times the largest body, when all bodies grow together.
TEST_F(HostileApiClientsTest, BodiesInPieces)
{
    HostileCrowd::Plan crowd = plan();
    crowd.pieceBytes = pieceBytes;
    expectServed(crowd);
}

// Guards against bodies without an announced length that escape the limit of the sum.
TEST_F(HostileApiClientsTest, LargeChunks)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 0;
    crowd.pieceBytes = pieceBytes;
    expectServed(crowd);
}

// Guards against a cost of each chunk beside its bytes.
TEST_F(HostileApiClientsTest, SmallChunks)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 0;
    crowd.chunkBytes = 8;
    crowd.pieceBytes = pieceBytes;
    expectServed(crowd);
}

// Guards against keeping the bodies of refused requests, and against reading them for ever.
TEST_F(HostileApiClientsTest, AnnouncedBodiesOverTheLimit)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 256 << 20;
    crowd.sentBytes = 4 << 20;
    crowd.pieceBytes = pieceBytes;
    crowd.completeEvery = 0;
    expectServed(crowd);
}

// Guards against chunked bodies over the limit that are read and kept.
TEST_F(HostileApiClientsTest, ChunkedBodiesOverTheLimit)
{
    HostileCrowd::Plan crowd = plan();
    crowd.announcedBytes = 0;
    crowd.sentBytes = 4 << 20;
    crowd.pieceBytes = pieceBytes;
    crowd.completeEvery = 0;
    expectServed(crowd);
}

// Guards against large bodies of the operator's requests, which share the listener and the memory.
TEST_F(HostileApiClientsTest, BodiesOfConfigurationPatches)
{
    HostileCrowd::Plan crowd = plan();
    crowd.header = "POST /v1/configuration/patches HTTP/1.1\r\nHost: a\r\n";
    expectServed(crowd);
}

// Guards against headers that grow until the memory is used up.
TEST_F(HostileApiClientsTest, EndlessHeaders)
{
    HostileCrowd::Plan crowd = plan();
    crowd.endlessHeader = true;
    crowd.pieceBytes = pieceBytes;
    crowd.completeEvery = 0;
    expectServed(crowd);
}

// Guards against copies of large responses that are kept for clients that do not read them, on an instance with many
// services.
TEST_F(HostileApiClientsTest, SlowReadersOfAConfigurationWithManyServices)
{
    nlohmann::json services = nlohmann::json::object();
    for (int index = 0; index < 4'000; ++index)
        services["service-with-a-name-of-many-letters-" + std::to_string(index)] = { { "slots_per_server", 1 } };
    ASSERT_EQ(patch(0, "large", 1, { { "services", services } }).status, 200);
    HostileCrowd::Plan crowd = plan();
    crowd.header = "GET /v1/configuration HTTP/1.1\r\nHost: a\r\n";
    crowd.sentBytes = 1;
    crowd.announcedBytes = 1;
    crowd.completeEvery = 1;
    expectServed(crowd);
}

// Guards against copies of large responses that are kept for clients that do not read them.
TEST_F(HostileApiClientsTest, SlowReadersOfALargeConfiguration)
{
    // Accounts, since an instance keeps a stream and its records for each service.
    nlohmann::json accounts = nlohmann::json::object();
    for (int index = 0; index < 8'000; ++index)
        accounts["account-with-a-name-of-many-letters-" + std::to_string(index)] = { { "weight", 1 } };
    ASSERT_EQ(patch(0, "large", 1, { { "accounts", accounts } }).status, 200);
    HostileCrowd::Plan crowd = plan();
    crowd.header = "GET /v1/configuration HTTP/1.1\r\nHost: a\r\n";
    crowd.sentBytes = 1;
    crowd.announcedBytes = 1;
    crowd.completeEvery = 1;
    expectServed(crowd);
}

} // namespace lentilsaddle::testing_support
