#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/KeyedReader.h"
#include "platform/BatchPlatformFactory.h"
#include "tests/process/FreePorts.h"
#include "tests/soak/FaultProxy.h"
#include "tests/standin/KeyedStoreTask.h"
#include "transport/HttpClient.h"

#include <gtest/gtest.h>

#include <map>

namespace lentilsaddle::platform {

using coordination::batch::BatchPlatform;
using coordination::batch::KeyedReader;
using coordination::batch::KeyedRecord;
using coordination::batch::Stream;
using soak::FaultProxy;
using soak::FaultProxyMode;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

    constexpr std::size_t workerConnections = 100;

    // Time in which a confirmed configuration must be in force.
    constexpr milliseconds configurationLimit { 3'000 };
    // Payload of a link of 10 Mbit/s.
    constexpr std::size_t slowLinkBytesPerSecond = 1'250'000;

    // Reader of the configuration stream with the default options, connected to a store through a link.
    class StoreReaderTest : public testing::Test {
    protected:
        StoreReaderTest()
            : m_storePort(testing_support::findFreePorts(1))
            , m_linkPort(testing_support::findFreePorts(1))
            , m_store({ .firstPort = m_storePort }, 1)
            , m_link(m_linkPort, m_storePort)
            , m_platform(
                  createBatchPlatform(m_loop, "http://127.0.0.1:" + std::to_string(m_linkPort), workerConnections))
        {
            m_store.start();
            m_link.start();
        }

        void startReader()
        {
            auto apply = [this](const std::vector<KeyedRecord>& records) {
                for (const KeyedRecord& record : records)
                    m_arrivals.emplace(record.value.value_or("").substr(0, 2), steady_clock::now());
            };
            m_reader = std::make_unique<KeyedReader>(m_loop, m_platform.journal,
                KeyedReader::optionsFor(Stream::Configuration, {}),
                KeyedReader::Hooks {
                    .clock = [] { return steady_clock::now(); },
                    .random = [] { return 0; },
                    .readInterval = [] { return milliseconds(0); },
                    .onListing = apply,
                    .onRecords = apply,
                    .afterRead = [] {},
                    .onReachability = [](const KeyedReader::Reachability&) {},
                });
            m_reader->start();
        }

        // Writes a value of the given size that starts with its two-digit version, after a delay.
        void writeVersion(int version, std::size_t size, milliseconds delay)
        {
            std::string value = (version < 10 ? "0" : "") + std::to_string(version);
            m_loop.startTimer(delay, [this, value, size] {
                m_written[value] = steady_clock::now();
                m_client.send(
                    {
                        .method = "POST",
                        .url = "http://127.0.0.1:" + std::to_string(m_storePort) + "/put?topic=keyed.op&key=config",
                        .body = value + std::string(size - value.size(), 'x'),
                    },
                    [](const transport::HttpResult& result) { ASSERT_EQ(result.response.status, 200); });
            });
        }

        void runFor(milliseconds duration)
        {
            m_loop.startTimer(duration, [this] { m_loop.requestStop(); });
            m_loop.run();
        }

        void expectInForceInTime(const std::string& version)
        {
            ASSERT_TRUE(m_arrivals.contains(version)) << "version " << version << " was never read";
            EXPECT_LT(m_arrivals.at(version) - m_written.at(version), configurationLimit);
        }

        std::uint16_t m_storePort;
        std::uint16_t m_linkPort;
        standin::KeyedStoreTask m_store;
        FaultProxy m_link;
        transport::EventLoop m_loop { [] {} };
        transport::HttpClient m_client { m_loop, {} };
        BatchPlatform m_platform;
        std::unique_ptr<KeyedReader> m_reader;
        std::map<std::string, steady_clock::time_point> m_written;
        std::map<std::string, steady_clock::time_point> m_arrivals;
    };

} // namespace

// Guards against a record whose transfer takes longer than a read's timeout and that is therefore never read: each
// retry starts over with the same timeout.
TEST_F(StoreReaderTest, LargeRecordOverASlowLinkIsReadInTime)
{
    m_link.post({ .kind = FaultProxyMode::Kind::Throttle, .bytesPerSecond = slowLinkBytesPerSecond });
    startReader();
    // Late in the first long poll, so that little of its time limit is left for the transfer.
    writeVersion(1, 930'000, milliseconds(850));
    runFor(milliseconds(850) + configurationLimit);
    expectInForceInTime("01");
}

// Guards against a series of large records that is read one by one, so that the newest comes too late.
TEST_F(StoreReaderTest, NewestOfASeriesOfLargeRecordsIsReadInTime)
{
    m_link.post({ .kind = FaultProxyMode::Kind::Throttle, .bytesPerSecond = slowLinkBytesPerSecond });
    startReader();
    constexpr int versions = 12;
    for (int version = 1; version <= versions; ++version)
        writeVersion(version, 600'000, milliseconds(100 + 20 * version));
    runFor(milliseconds(100 + 20 * versions) + configurationLimit);
    expectInForceInTime(std::to_string(versions));
}

} // namespace lentilsaddle::platform
