#include "platform/BatchConfigurationCodec.h"
#include "platform/DirectoryCodec.h"
#include "platform/JobCodec.h"
#include "platform/StoreCodec.h"
#include "platform/WorkerCodec.h"
#include "protocol/Endpoint.h"
#include "protocol/ProtocolError.h"
#include "tests/protocol/OddDocuments.h"

#include <gtest/gtest.h>

namespace lentilsaddle::platform {

using coordination::batch::Observation;
using coordination::batch::WorkerCallResult;
using nlohmann::json;
using state::batch::BatchWorker;
using testing_support::documentsWithOneOddValue;

namespace {

    // Sums over all workers, and times since 1970 in microseconds, stay far from the limits of their types.
    constexpr std::int64_t plausibleAmount = 1'000'000'000'000;
    constexpr std::int64_t plausibleMilliseconds = 100'000'000'000'000;

    const json workerEntry = json::parse(
        R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","seq":4,
            "capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"],"born":1785000000000,
            "drain_remaining_ms":1500})");

    void expectPlausible(const BatchWorker& worker, const std::string& text)
    {
        std::string context = text.substr(0, 400);
        EXPECT_TRUE(protocol::isEndpoint(worker.address)) << context;
        EXPECT_FALSE(worker.service.empty()) << context;
        for (std::int64_t amount :
            { worker.capacity.milliCores, worker.capacity.memoryMegabytes, worker.capacity.accelerators }) {
            EXPECT_GE(amount, 0) << context;
            EXPECT_LE(amount, plausibleAmount) << context;
        }
        EXPECT_GE(worker.drainRemaining.count(), 0) << context;
        EXPECT_LE(worker.drainRemaining.count(), plausibleMilliseconds) << context;
        EXPECT_GE(worker.incarnation, 0) << context;
        EXPECT_LE(worker.incarnation, plausibleMilliseconds) << context;
    }

} // namespace

// Guards against an entry of another writer in the list of workers that ends the process or is used as a worker.
TEST(OddEntry, DirectoryEntryIsSkippedOrPlausible)
{
    ASSERT_TRUE(decodeWorkerEntry("i-1", workerEntry.dump()));
    for (const std::string& text : documentsWithOneOddValue(workerEntry)) {
        if (auto worker = decodeWorkerEntry("i-1", text))
            expectPlausible(*worker, text);
    }
}

// Guards against using a worker at an address that cannot be connected to.
TEST(OddEntry, DirectoryEntryWithAPortOutOfRangeIsSkipped)
{
    for (const char* address : { "10.128.0.9:65536", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9",
             "10.128.0.9:", "10.128.0.9:80/x", "host:80", "" }) {
        json entry = workerEntry;
        entry["addr"] = address;
        EXPECT_FALSE(decodeWorkerEntry("i-1", entry.dump())) << address;
    }
}

// Guards against a key of the list that is not a worker's identifier and would be sent in a header.
TEST(OddEntry, DirectoryEntryWithAnOddKeyIsSkipped)
{
    for (const std::string& key :
        { std::string(), std::string("a\r\nX: y"), std::string("\xff\xfe"), std::string("a b") })
        EXPECT_FALSE(decodeWorkerEntry(key, workerEntry.dump()));
}

// Guards against a response of a worker that ends the process.
TEST(OddEntry, WorkerResponseIsReadableOrUnknown)
{
    const json response = json::parse(
        R"({"clock_ms":482113,"born":5,"running":[["00000000000000aa.0.1.17",2,"00000bb8",41,3]],
            "ended":[[58,"00000000000000aa.0.1.9",1,"failed",""]]})");
    for (const std::string& text : documentsWithOneOddValue(response)) {
        Observation observation = decodeResponse(200, text);
        std::string context = text.substr(0, 400);
        if (observation.result.clock) {
            EXPECT_LE(std::abs(observation.result.clock->count()), plausibleMilliseconds) << context;
        }
        for (const auto& running : observation.running) {
            EXPECT_GE(running.run, 0) << context;
            EXPECT_GE(running.percent, 0) << context;
            EXPECT_LE(running.percent, 100) << context;
        }
        for (const auto& ended : observation.ended) {
            EXPECT_GE(ended.number, 0) << context;
            EXPECT_GE(ended.run, 0) << context;
        }
    }
    EXPECT_EQ(
        decodeResponse(200, testing_support::deeplyNestedArray()).result.status, WorkerCallResult::Status::Unknown);
}

// Guards against a configuration record of another writer that ends the process or takes the place of a valid one.
TEST(OddEntry, ConfigurationIsSkippedOrPlausible)
{
    const json document = json::parse(
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","target_runtime_ms":250.0,"priority":0,
            "service":"s","max_attempts":3,"stretch":1.5,"public":false,"advice":{}}],
            "tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":72}}]})");
    for (const std::string& text : documentsWithOneOddValue(document)) {
        auto configuration = decodeConfigurationRecord("config", text);
        if (!configuration)
            continue;
        for (const auto& account : configuration->accounts)
            EXPECT_LE(account.guaranteedAccelerators, plausibleAmount) << text.substr(0, 400);
    }
}

// Guards against a submission that ends the process, or whose due times exceed the range of the clock.
TEST(OddEntry, SubmissionIsRefusedOrPlausible)
{
    const json document = json::parse(
        R"({"spec":"t","steps":[{"count":3,"cpu":700,"mem_mb":1,"gpu":1,"estimate_ms":800,"preferred_rack":"r",
            "required_label":"a","max_per_server":2,"gang":true,"same_rack":true,"saves_progress":true,
            "speculative":false},{"count":7,"after":[0]}],"repeats":9000,"first_ms":1000,"interval_ms":5})");
    for (const std::string& text : documentsWithOneOddValue(document)) {
        try {
            state::batch::BatchJob job = decodeJob(text).job;
            auto last = job.dueTime(job.occurrences - 1).time_since_epoch();
            EXPECT_GE(last.count(), 0) << text.substr(0, 400);
            EXPECT_LE(std::chrono::duration_cast<std::chrono::milliseconds>(last).count(), plausibleMilliseconds)
                << text.substr(0, 400);
        } catch (const protocol::ProtocolError&) {
        }
    }
    json distant = document;
    distant["interval_ms"] = 99'000'000'000'000;
    EXPECT_THROW(decodeJob(distant.dump()), protocol::ProtocolError);
}

// Guards against responses of the store that end the process.
TEST(OddEntry, StoreResponsesCauseOnlyProtocolErrors)
{
    const json listing
        = json::parse(R"({"items":[{"key":"config","value":"YWI=","offset":4}],"has_more":true,"end_offset":6})");
    for (const std::string& text : documentsWithOneOddValue(listing)) {
        try {
            decodeNewestResponse(text);
        } catch (const protocol::ProtocolError&) {
        }
    }
    for (const std::string& text : documentsWithOneOddValue(json::parse(R"({"offset":840,"end_offset":842})")))
        decodeAppendResponse(200, text);
    for (const std::string& text : documentsWithOneOddValue(json::parse(R"({"reason":"seq","seq":3})")))
        decodeAppendResponse(409, text);
}

// Guards against a record with a malformed key that makes its stream unreadable from there on.
TEST(OddEntry, RecordWithAMalformedKeyDoesNotHideOthers)
{
    std::string body = encodeRecords({ { .key = "a", .value = "x" }, { .key = "b", .value = "y" } });
    // The key length follows the four bytes of the record length.
    body[4] = '\xff';
    auto result = decodeReadResponse(std::string(7, '\0') + '\x02' + std::string(8, '\0') + body, 0);
    ASSERT_EQ(result.records.size(), 2U);
    EXPECT_TRUE(result.records[0].key.empty());
    EXPECT_EQ(result.records[1].key, "b");
    EXPECT_EQ(result.next, 2U);
}

} // namespace lentilsaddle::platform
