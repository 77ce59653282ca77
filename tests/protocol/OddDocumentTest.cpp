#include "protocol/ApiCodec.h"
#include "protocol/ConfigurationCodec.h"
#include "protocol/Endpoint.h"
#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"
#include "protocol/WorkerDirectory.h"
#include "protocol/batch/BatchRecordCodec.h"
#include "state/Configuration.h"
#include "state/StateError.h"
#include "tests/protocol/OddDocuments.h"

#include <gtest/gtest.h>

#include <functional>

namespace lentilsaddle::protocol {

using nlohmann::json;
using testing_support::documentsWithOneOddValue;

namespace {

    // Calls the decoder with the document and all variants; only errors of the protocol and state layers may leave it.
    void expectOnlyOwnErrors(const json& document, const std::function<void(const std::string&)>& decoder)
    {
        ASSERT_NO_THROW(decoder(document.dump()));
        for (const std::string& text : documentsWithOneOddValue(document)) {
            try {
                decoder(text);
            } catch (const ProtocolError&) {
            } catch (const state::StateError&) {
            }
        }
    }

} // namespace

// Guards against a document that overflows the stack when it is copied or serialised.
TEST(OddDocument, DeepNestingIsAnError)
{
    EXPECT_THROW(JsonReader::parse(testing_support::deeplyNestedArray()), ProtocolError);
    EXPECT_NO_THROW(JsonReader::parse(std::string(64, '[') + std::string(64, ']')));
    EXPECT_THROW(JsonReader::parse(std::string(65, '[') + std::string(65, ']')), ProtocolError);
    // Brackets in strings do not nest.
    EXPECT_NO_THROW(JsonReader::parse('"' + std::string(100, '[') + R"(\"[")"));
}

TEST(OddDocument, EndpointHasAnAddressAndAPort)
{
    EXPECT_TRUE(isEndpoint("10.0.0.1:65535"));
    EXPECT_TRUE(isEndpoint("10.0.0.1:0", 0));
    for (const char* text : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:", "10.0.0.1", ":80", "host:80",
             "10.0.0.256:80", "10.0.0.1:8 ", "10.0.0.1:+80", "10.0.0.1:99999999999999999999" })
        EXPECT_FALSE(isEndpoint(text)) << text;
}

// Guards against requests of callers that end the process.
TEST(OddDocument, ApiRequestsCauseOnlyOwnErrors)
{
    expectOnlyOwnErrors(json::parse(
                            R"({"job_id":"j-1","account":"a","tasks":4,"accelerators_per_task":2,"adjacency":"rack",
                "declared_runtime_s":60,"repeatable":false,"urgent":true,"payload":"text"})"),
        [](const std::string& text) { decodeJobSubmission(text); });
    expectOnlyOwnErrors(
        json::parse(R"({"patch_id":"p-1","base_version":3,"merge_patch":{"accounts":{"a":{"weight":2}}}})"),
        [](const std::string& text) { applyMergePatch({}, decodePatchSubmission(text).mergePatch); });
}

// Guards against a list of workers that ends the process.
TEST(OddDocument, WorkerListCausesOnlyOwnErrors)
{
    expectOnlyOwnErrors(
        json::parse(R"({"workers":[{"id":"w","rack":"r","position":1,"accelerators":8,"address":"10.0.0.1:80"}]})"),
        [](const std::string& text) { decodeWorkers(text); });
}

// Guards against a configuration that ends the process.
TEST(OddDocument, ConfigurationCausesOnlyOwnErrors)
{
    expectOnlyOwnErrors(
        json::parse(
            R"({"version":3,"accounts":{"a":{"weight":2,"guarantees":[{"data_centre":"d","accelerators":8,"count":1,
                "adjacency":"rack"}]}},"services":{"s":{"slots_per_server":2,"connections_per_server":4}},
                "data_centres":{"d":{"completion_weight":0.5,"accelerators":64,"accelerators_per_rack":32}}})"),
        [](const std::string& text) { decodeConfiguration(text); });
}

// Guards against a journal record that ends the process.
TEST(OddDocument, JournalRecordsCauseOnlyOwnErrors)
{
    state::batch::BatchJob job { .id = state::JobId("00000000000000aa"), .steps = { { .taskCount = 2 } } };
    expectOnlyOwnErrors(
        json::parse(batch::encodeJob(job)), [&job](const std::string& text) { batch::decodeJob(job.id, text); });
    expectOnlyOwnErrors(
        json::parse(batch::encodeTaskState({})), [](const std::string& text) { batch::decodeTaskState(text); });
    expectOnlyOwnErrors(json::parse(batch::encodeTaskState({ .workerCrashes = 1 })),
        [](const std::string& text) { batch::decodeTaskState(text); });
    expectOnlyOwnErrors(
        json::parse(batch::encodeLeader({})), [](const std::string& text) { batch::decodeLeader(text); });
}

} // namespace lentilsaddle::protocol
