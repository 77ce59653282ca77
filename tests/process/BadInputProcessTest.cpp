#include "tests/process/ProcessTest.h"

#include <vector>

namespace lentilsaddle::testing_support {

using nlohmann::json;

namespace {

    class BadInputProcessTest : public ProcessTest {
    protected:
        /// State that a refused request must not change.
        json observableState() const
        {
            json streams = m_harness.streams();
            return { { "version", version(0) }, { "records", streams["configuration"]["records"] },
                { "requests", m_harness.backendJournal()["request_ids"] }, { "runs", m_harness.workerJournal() } };
        }

        static void expectError(const HttpReply& reply, int status, const std::string& field)
        {
            EXPECT_EQ(reply.status, status) << reply.body << reply.error;
            json body = reply.json();
            ASSERT_TRUE(body.is_object()) << reply.body;
            EXPECT_EQ(body.value("field", ""), field) << reply.body;
            EXPECT_NE(body.value("reason", ""), "") << reply.body;
        }
    };

} // namespace

// Guards against accepting a job that can never run, and against errors that do not name the invalid field.
TEST_F(BadInputProcessTest, InvalidJobsAreRefusedWithTheirField)
{
    ASSERT_GE(waitForScheduler(0), 0);
    json before = observableState();
    struct Case {
        json changes;
        int status;
        std::string field;
    };
    const std::vector<Case> cases {
        { { { "account", "nobody" } }, 422, "account" },
        { { { "tasks", 0 } }, 400, "tasks" },
        { { { "tasks", -1 } }, 400, "tasks" },
        { { { "tasks", 65 } }, 400, "tasks" },
        { { { "tasks", "two" } }, 400, "tasks" },
        { { { "accelerators_per_task", 9 } }, 400, "accelerators_per_task" },
        { { { "adjacency", "planet" } }, 400, "adjacency" },
        { { { "declared_runtime_s", 0 } }, 400, "declared_runtime_s" },
        { { { "payload", std::string(5'000, 'x') } }, 400, "payload" },
        { { { "colour", "red" } }, 400, "colour" },
        { { { "tasks", 64 }, { "accelerators_per_task", 8 } }, 422, "tasks" },
    };
    for (const Case& testCase : cases) {
        SCOPED_TRACE(testCase.changes.dump().substr(0, 80));
        expectError(submit(0, "bad", 1, testCase.changes), testCase.status, testCase.field);
    }
    expectError(m_harness.call(0, { .method = "POST", .path = "/v1/jobs", .body = "{\"tasks\":" }), 400, "body");
    expectError(m_harness.call(0, { .method = "POST", .path = "/v1/jobs", .body = std::string((1 << 20) + 1, ' ') }),
        413, "body");
    EXPECT_EQ(m_harness.call(0, { .path = "/v1/jobs/bad" }).status, 404);
    EXPECT_EQ(observableState(), before);
}

// Guards against a submission with a known job id and another body that replaces the job or runs it twice.
TEST_F(BadInputProcessTest, DuplicateJobWithAnotherBodyConflicts)
{
    ASSERT_GE(waitForScheduler(0), 0);
    EXPECT_EQ(submit(0, "twice", 2).status, 202);
    EXPECT_EQ(submit(1, "twice", 2).status, 202);
    expectError(submit(1, "twice", 3), 409, "job_id");
    ASSERT_TRUE(waitForJob(0, "twice", "done"));
    expectRanOnce("twice", 2);
}

// Guards against refused patches that still change state, and against errors that do not name the invalid field.
TEST_F(BadInputProcessTest, InvalidPatchesAreRefusedWithTheirField)
{
    json before = observableState();
    auto post = [this](const std::string& body) {
        return m_harness.call(0, { .method = "POST", .path = "/v1/configuration/patches", .body = body });
    };
    expectError(post("not json"), 400, "body");
    expectError(post(R"({"base_version":-1,"merge_patch":{}})"), 400, "base_version");
    expectError(post(R"({"base_version":1,"merge_patch":[]})"), 400, "merge_patch");
    expectError(post(R"({"base_version":1})"), 400, "merge_patch");
    EXPECT_EQ(observableState(), before);
    HttpReply wrongVersion = patch(0, "wrong-version", 7, json::object());
    EXPECT_EQ(wrongVersion.status, 409);
    EXPECT_EQ(wrongVersion.json()["version"], 1);
    auto expectRejection = [this](const std::string& id, const json& change, const std::string& field) {
        HttpReply reply = patch(0, id, 1, change);
        EXPECT_EQ(reply.status, 409) << reply.body;
        EXPECT_NE(reply.body.find(field), std::string::npos) << reply.body;
    };
    expectRejection("zero", { { "accounts", { { "shops", { { "weight", 0 } } } } } }, "weight");
    expectRejection("field", { { "accounts", { { "shops", { { "colour", 1 } } } } } }, "colour");
    json excessiveGuarantee { { "data_centre", "norte-ovi" }, { "accelerators", 64 }, { "count", 9 } };
    expectRejection(
        "promise", { { "accounts", { { "shops", { { "guarantees", { excessiveGuarantee } } } } } } }, "guarantees");
    EXPECT_EQ(version(0), 1);
    EXPECT_EQ(version(1), 1);
}

// Guards against refused requests that reach a backend server.
TEST_F(BadInputProcessTest, InvalidRequestsAreRefusedAsNotRun)
{
    json before = observableState();
    auto send = [this](const std::map<std::string, std::string>& headers, const std::string& service,
                    const std::string& body = "") {
        HttpReply reply = m_harness.call(
            0, { .method = "POST", .path = "/v1/services/" + service + "/requests", .headers = headers, .body = body });
        EXPECT_EQ(reply.header("request-outcome"), "not-run") << reply.body << reply.error;
        return reply;
    };
    const std::string service = "pavoreserva-app";
    expectError(send({}, service), 400, "Client-Account");
    expectError(send({ { "Client-Account", "shops" }, { "Non-Repeatable", "true" } }, service), 400, "Idempotency-Key");
    expectError(
        send({ { "Client-Account", "shops" }, { "Request-Deadline-Ms", "5s" } }, service), 400, "Request-Deadline-Ms");
    expectError(
        send({ { "Client-Account", "shops" }, { "Request-Deadline-Ms", "0" } }, service), 400, "Request-Deadline-Ms");
    expectError(send({ { "Client-Account", "shops" } }, service, std::string((1 << 20) + 1, 'x')), 413, "body");
    EXPECT_EQ(send({ { "Client-Account", "nobody" } }, service).status, 403);
    EXPECT_EQ(send({ { "Client-Account", "shops" } }, "nothing").status, 404);
    EXPECT_EQ(observableState(), before);
}

// Guards against a daemon that starts with settings that it parsed with a wrong unit, key or range.
TEST(BadSettingsProcessTest, InvalidSettingsAreRefusedWithTheirKey)
{
    ProcessHarness harness { { .workersPerDataCentre = 1, .backendServersPerDataCentre = 1 } };
    const std::string valid = "instance: entry-1\ndata_centre: norte-ovi\nplatform: {url: \"http://127.0.0.1:1\"}\n";
    struct Case {
        std::string text;
        std::string key;
        std::string expected;
    };
    const std::vector<Case> cases {
        { valid + "leases: {ttl_ms: 30s}\n", "leases.ttl_ms", "ms" },
        { valid + "leases: {ttl_ms: 30}\n", "leases.ttl_ms", "ms" },
        { valid + "leases: {ttl_s: 30}\n", "leases.ttl_s", "" },
        { valid + "http: {port: -1}\n", "http.port", "65535" },
        { "data_centre: norte-ovi\nplatform: {url: \"http://127.0.0.1:1\"}\n", "instance", "" },
    };
    for (const Case& testCase : cases) {
        SCOPED_TRACE(testCase.text);
        std::string file = harness.writeFile("bad.yaml", testCase.text);
        for (const auto& [program, arguments] : std::vector<std::pair<std::string, std::vector<std::string>>> {
                 { "daemon/lentilsaddled", { "--settings", file } },
                 { "cli/lentilsaddle", { "check-config", file } } }) {
            std::string output;
            EXPECT_EQ(harness.run(program, arguments, output), 2) << program;
            EXPECT_NE(output.find(testCase.key), std::string::npos) << output;
            EXPECT_NE(output.find(testCase.expected), std::string::npos) << output;
        }
    }
}

} // namespace lentilsaddle::testing_support
