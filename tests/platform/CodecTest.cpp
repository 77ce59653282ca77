#include "platform/BatchConfigurationCodec.h"
#include "platform/DirectoryCodec.h"
#include "platform/EvacuationCodec.h"
#include "platform/JobCodec.h"
#include "platform/StoreCodec.h"
#include "platform/WorkerCodec.h"
#include "protocol/ProtocolError.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilsaddle::platform {

using coordination::batch::AppendResult;
using coordination::batch::EndedTask;
using coordination::batch::KeyedRecord;
using coordination::batch::NewestResult;
using coordination::batch::Observation;
using coordination::batch::ReadResult;
using coordination::batch::WorkerCallResult;
using protocol::ProtocolError;
using std::chrono::milliseconds;

namespace {

    std::string readBody(const std::vector<KeyedRecord>& records, std::uint64_t end)
    {
        std::string header;
        for (int shift = 56; shift >= 0; shift -= 8)
            header.push_back(static_cast<char>((end >> shift) & 0xff));
        header.append(8, '\0');
        return header + encodeRecords(records);
    }

    constexpr const char* entry
        = R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready",
            "capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"],"born":1785000000000,"seq":4})";

} // namespace

TEST(StoreCodec, EncodedRecordsDecodeUnchanged)
{
    std::vector<KeyedRecord> records { { .key = "a", .value = "x" }, { .key = "b", .value = std::nullopt } };
    ReadResult result = decodeReadResponse(readBody(records, 9), 7);
    ASSERT_EQ(result.records.size(), 2U);
    EXPECT_EQ(result.records[0].key, "a");
    EXPECT_EQ(result.records[0].value, "x");
    EXPECT_EQ(result.records[0].offset, 7U);
    EXPECT_FALSE(result.records[1].value.has_value());
    EXPECT_EQ(result.next, 9U);
    EXPECT_EQ(result.end, 9U);
}

// Guards against a truncated response that is decoded as a shorter stream.
TEST(StoreCodec, TruncatedResponseIsAnError)
{
    std::string body = readBody({ { .key = "a", .value = "x" } }, 1);
    for (std::size_t size : { std::size_t(3), std::size_t(18), body.size() - 1 })
        EXPECT_THROW(decodeReadResponse(body.substr(0, size), 0), ProtocolError);
}

// Guards against reporting an append as not stored when the response does not rule out that it was stored.
TEST(StoreCodec, UnclearAppendResponseIsNotReportedAsNotStored)
{
    using Status = AppendResult::Status;
    EXPECT_EQ(decodeAppendResponse(200, R"({"offset":840,"end_offset":842})").status, Status::Stored);
    EXPECT_EQ(decodeAppendResponse(200, R"({"offset":840,"end_offset":842})").firstOffset, 840U);
    EXPECT_EQ(decodeAppendResponse(200, "{").status, Status::Unknown);
    EXPECT_EQ(decodeAppendResponse(500, "").status, Status::Unknown);
    EXPECT_EQ(decodeAppendResponse(503, "").status, Status::NotStored);
    EXPECT_EQ(decodeAppendResponse(429, "").status, Status::NotStored);
    EXPECT_EQ(decodeAppendResponse(412, R"({"end_offset":3})").status, Status::ConditionFailed);
    EXPECT_EQ(decodeAppendResponse(409, R"({"reason":"fenced"})").status, Status::Fenced);
    EXPECT_EQ(decodeAppendResponse(409, R"({"reason":"seq","seq":3})").status, Status::OutOfSequence);
}

TEST(StoreCodec, NewestDecodesValues)
{
    NewestResult result = decodeNewestResponse(
        R"({"items":[{"key":"config","value":"YWI=","offset":4}],"has_more":true,"end_offset":6})");
    ASSERT_EQ(result.records.size(), 1U);
    EXPECT_EQ(result.records[0].value, "ab");
    EXPECT_EQ(result.records[0].offset, 4U);
    EXPECT_TRUE(result.more);
    EXPECT_EQ(result.end, 6U);
    EXPECT_THROW(
        decodeNewestResponse(R"({"items":[{"key":"config","value":"%","offset":4}],"end_offset":6})"), ProtocolError);
}

TEST(WorkerCodec, DecodesBothLists)
{
    Observation observation = decodeResponse(200,
        R"({"clock_ms":482113,"born":5,"running":[["00000000000000aa.0.1.17",2,"00000bb8",41,3]],
            "ended":[[58,"00000000000000aa.0.1.9",1,"failed",""]]})");
    EXPECT_EQ(observation.result.status, WorkerCallResult::Status::Done);
    EXPECT_EQ(observation.result.clock, milliseconds(482'113));
    EXPECT_EQ(observation.result.incarnation, 5);
    ASSERT_EQ(observation.running.size(), 1U);
    EXPECT_EQ(observation.running[0].task.index, 17);
    EXPECT_EQ(observation.running[0].percent, 41);
    ASSERT_EQ(observation.ended.size(), 1U);
    EXPECT_EQ(observation.ended[0].reason, EndedTask::Reason::Failed);
    EXPECT_EQ(observation.lastEnd, 58);
}

// Guards against taking a run for missing because the lists are cut or cannot be read completely.
TEST(WorkerCodec, ListsThatMayLackEntriesAreIncomplete)
{
    EXPECT_TRUE(decodeResponse(200, R"({"clock_ms":1,"running":[],"ended":[]})").complete);
    EXPECT_FALSE(decodeResponse(200, R"({"clock_ms":1,"running":[7],"ended":[]})").complete);
    EXPECT_FALSE(decodeResponse(200, R"({"clock_ms":1,"running":[],"ended":[["1"]]})").complete);
    EXPECT_FALSE(decodeResponse(200, R"({"clock_ms":1,"ended":[]})").complete);
    std::string ends = R"([1,"00000000000000aa.0.0.0",1,"done",""])";
    std::string list = ends;
    for (int number = 2; number <= 500; ++number)
        list += "," + ends;
    EXPECT_FALSE(decodeResponse(200, R"({"clock_ms":1,"running":[],"ended":[)" + list + "]}").complete);
}

// Guards against losing the other entries of a list because of one that cannot be decoded.
TEST(WorkerCodec, UnreadableEntryDoesNotHideOthers)
{
    Observation observation = decodeResponse(
        200, R"({"clock_ms":1,"running":[7,["x",1,"",0],["00000000000000aa.0.0.0",1,"",0]],"ended":[["1"]]})");
    EXPECT_EQ(observation.running.size(), 1U);
    EXPECT_TRUE(observation.ended.empty());
}

// Guards against reporting a start as not delivered when its response cannot be decoded.
TEST(WorkerCodec, UnreadableResponseIsNotReportedAsNotDelivered)
{
    using Status = WorkerCallResult::Status;
    EXPECT_EQ(decodeResponse(200, "{").result.status, Status::Unknown);
    EXPECT_EQ(decodeResponse(500, "").result.status, Status::Unknown);
    EXPECT_EQ(decodeResponse(503, "").result.status, Status::NotDelivered);
    EXPECT_EQ(decodeResponse(421, "").result.status, Status::OtherIncarnation);
    EXPECT_EQ(decodeResponse(409, R"({"reason":"fence"})").result.status, Status::Fenced);
    EXPECT_EQ(decodeResponse(409, R"({"reason":"old"})").result.status, Status::StaleRun);
    EXPECT_EQ(decodeResponse(409, R"({"reason":"late"})").result.status, Status::LeaseExpired);
    EXPECT_EQ(decodeResponse(409, R"({"reason":"room"})").result.status, Status::InsufficientCapacity);
}

TEST(DirectoryCodec, DecodesAnEntry)
{
    auto worker = decodeWorkerEntry("i-1", entry);
    ASSERT_TRUE(worker);
    EXPECT_EQ(worker->address, "10.128.0.9:8080");
    EXPECT_EQ(worker->rack, "r1-3");
    EXPECT_EQ(worker->capacity.accelerators, 8);
    EXPECT_FALSE(worker->draining);
    EXPECT_EQ(worker->incarnation, 1'785'000'000'000);
}

// Guards against using malformed entries that another writer stored in the directory.
TEST(DirectoryCodec, UnreadableEntryYieldsNoWorker)
{
    EXPECT_FALSE(decodeWorkerEntry("i-1", "\xff{"));
    EXPECT_FALSE(decodeWorkerEntry("i-1", R"({"service":"s"})"));
    std::string unknownState = entry;
    unknownState.replace(unknownState.find("ready"), 5, "other");
    EXPECT_FALSE(decodeWorkerEntry("i-1", unknownState));
}

// Guards against an evacuation that is not recognised, and against a key that takes the reader of the stream down.
TEST(EvacuationCodec, DecodesKeys)
{
    EXPECT_EQ(decodeEvacuationKey("evacuate/norte-ovi"), state::DataCentreId("norte-ovi"));
    for (const char* key : { "config", "wave/1", "evacuate", "evacuate/", "evacuate/\xff" })
        EXPECT_FALSE(decodeEvacuationKey(key)) << key;
}

// Guards against a request that is ignored for a data centre that the directory can name.
TEST(EvacuationCodec, DecodesEachNameOfTheDirectory)
{
    for (const std::string& name :
        { std::string("a/b"), std::string("a b"), std::string("c\xc3\xb3rdoba"), std::string(300, 'x') }) {
        std::string named = entry;
        named.replace(named.find(R"("zone":"z")"), 10, R"("zone":")" + name + '"');
        ASSERT_TRUE(decodeWorkerEntry("i-1", named)) << name;
        EXPECT_EQ(decodeWorkerEntry("i-1", named)->dataCentre, state::DataCentreId(name));
        EXPECT_EQ(decodeEvacuationKey("evacuate/" + name), state::DataCentreId(name)) << name;
    }
}

// Guards against a worker that counts as warm although its entry says that it is slow for some time.
TEST(DirectoryCodec, DecodesHowLongAWorkerIsCold)
{
    std::string cold = entry;
    cold.insert(cold.find('{') + 1, R"("cold_left_ms":1500,)");
    ASSERT_TRUE(decodeWorkerEntry("i-1", cold));
    EXPECT_EQ(decodeWorkerEntry("i-1", cold)->coldRemaining, milliseconds(1'500));
}

TEST(BatchConfigurationCodec, DecodesQueuesAndAccounts)
{
    auto configuration = decodeConfigurationRecord("config",
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","target_runtime_ms":250.0,"priority":0,
            "service":"s","max_attempts":3,"stretch":1.5,"public":false}],
            "tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":72}}]})");
    ASSERT_TRUE(configuration);
    EXPECT_EQ(configuration->version, 7U);
    const state::batch::BatchQueue* queue = configuration->findQueue("h", "/p/x");
    ASSERT_TRUE(queue);
    EXPECT_EQ(queue->targetRuntime, milliseconds(250));
    EXPECT_EQ(queue->maximumAttempts, 3);
    EXPECT_FALSE(configuration->findQueue("other", "/p/x"));
    ASSERT_TRUE(configuration->findAccountByApiKey("k"));
    EXPECT_EQ(configuration->guaranteedAccelerators(state::AccountId("t")), 72);
    EXPECT_FALSE(decodeConfigurationRecord("wave/1", "{}"));
    EXPECT_FALSE(decodeConfigurationRecord("config", "{\"version\":\"7\"}"));
}

TEST(JobCodec, DecodesSteps)
{
    SubmittedJob submitted = decodeJob(
        R"({"spec":"t","steps":[{"count":3,"cpu":700,"estimate_ms":800,"preferred_rack":"r1-3"},
            {"count":7,"cpu":900,"after":[0],"gang":true,"same_rack":true}],"repeats":3,"first_ms":1000,"interval_ms":5})");
    EXPECT_TRUE(submitted.unsupported.empty());
    ASSERT_EQ(submitted.job.steps.size(), 2U);
    EXPECT_EQ(submitted.job.steps[0].preferredRack, "r1-3");
    EXPECT_EQ(submitted.job.steps[1].predecessors, std::vector<int> { 0 });
    EXPECT_TRUE(submitted.job.steps[1].gang);
    EXPECT_EQ(submitted.job.occurrences, 3);
    EXPECT_EQ(submitted.job.dueTime(2).time_since_epoch(), milliseconds(1'010));
}

// Guards against running a job while ignoring a feature that it requires.
TEST(JobCodec, UnsupportedFeaturesAreReported)
{
    EXPECT_FALSE(decodeJob(R"({"steps":[{"perpetual":true}]})").unsupported.empty());
    EXPECT_FALSE(decodeJob(R"({"steps":[{"fills":true}]})").unsupported.empty());
    EXPECT_FALSE(decodeJob(R"({"steps":[{"target_ms":50}]})").unsupported.empty());
}

TEST(JobCodec, ErrorsNameTheField)
{
    auto fieldOf = [](const std::string& body) {
        try {
            decodeJob(body);
        } catch (const ProtocolError& error) {
            return error.field();
        }
        return std::string();
    };
    EXPECT_EQ(fieldOf("{"), "body");
    EXPECT_EQ(fieldOf(R"({"spec":1,"steps":[{}]})"), "spec");
    EXPECT_EQ(fieldOf(R"({"spec":"t"})"), "steps");
    EXPECT_EQ(fieldOf(R"({"steps":[{"count":0}]})"), "steps.count");
    EXPECT_EQ(fieldOf(R"({"steps":[{"after":[0]}]})"), "steps.after");
}

// Guards against input of other processes that ends the process by an unexpected exception.
RC_GTEST_PROP(PlatformCodec, ArbitraryBytesCauseOnlyProtocolErrors, (const std::string& bytes))
{
    decodeResponse(200, bytes);
    decodeAppendResponse(409, bytes);
    decodeWorkerEntry("x", bytes);
    decodeConfigurationRecord("config", bytes);
    for (const auto& decoder : { std::function<void()>([&] { decodeReadResponse(bytes, 0); }),
             std::function<void()>([&] { decodeNewestResponse(bytes); }),
             std::function<void()>([&] { decodeJob(bytes); }) }) {
        try {
            decoder();
        } catch (const ProtocolError&) {
        }
    }
}

} // namespace lentilsaddle::platform
