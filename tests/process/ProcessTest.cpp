#include "tests/process/ProcessTest.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace lentilsaddle::testing_support {

using nlohmann::json;

ProcessTest::ProcessTest(ProcessHarness::Options options)
    : m_harness(std::move(options))
{
}

void ProcessTest::SetUp()
{
    ASSERT_TRUE(m_harness.startEntries());
    ASSERT_TRUE(m_harness.applyConfiguration());
    for (int i = 0; i < m_harness.entryCount(); ++i)
        ASSERT_TRUE(waitForLedger(i));
}

HttpReply ProcessTest::request(int entry, const Request& request) const
{
    BlockingRequest httpRequest { .method = "POST", .path = "/v1/services/pavoreserva-app/requests" };
    httpRequest.headers = { { "Client-Account", request.account }, { "Request-Id", request.id },
        { "Request-Deadline-Ms", std::to_string(request.deadlineMs) } };
    if (!request.key.empty()) {
        httpRequest.headers["Idempotency-Key"] = request.key;
        httpRequest.headers["Non-Repeatable"] = "true";
    }
    httpRequest.body = json({ { "work_ms", request.workMs } }).dump();
    return m_harness.call(entry, httpRequest);
}

HttpReply ProcessTest::patch(int entry, const std::string& id, int base, const json& mergePatch) const
{
    json body { { "patch_id", id }, { "base_version", base }, { "merge_patch", mergePatch } };
    HttpReply reply
        = m_harness.call(entry, { .method = "POST", .path = "/v1/configuration/patches", .body = body.dump() });
    EXPECT_NE(reply.status, 0) << reply.error;
    return reply;
}

HttpReply ProcessTest::submit(int entry, const std::string& id, int tasks, const json& changes) const
{
    json body { { "job_id", id }, { "account", "overnight" }, { "tasks", tasks }, { "accelerators_per_task", 1 },
        { "adjacency", "rack" }, { "declared_runtime_s", 60 }, { "payload", R"({"run_ms":300})" } };
    if (changes.is_object())
        body.update(changes);
    return m_harness.call(entry, { .method = "POST", .path = "/v1/jobs", .body = body.dump() });
}

int ProcessTest::version(int entry) const
{
    json configuration = m_harness.call(entry, { .path = "/v1/configuration" }).json();
    return configuration.is_object() ? configuration.value("version", -1) : -1;
}

json ProcessTest::job(int entry, const std::string& id) const
{
    json view = m_harness.call(entry, { .path = "/v1/jobs/" + id }).json();
    return view.is_object() ? view : json::object();
}

bool ProcessTest::waitForLedger(int entry) const
{
    std::string name = "ledger-" + m_harness.entryName(entry);
    return ProcessHarness::waitUntil(name + " is complete", [&] {
        HttpReply reply = request(entry, { .id = name, .key = name });
        return reply.status != 0 && reply.body.find("ledger_incomplete") == std::string::npos;
    });
}

bool ProcessTest::waitForJob(int entry, const std::string& id, const std::string& state) const
{
    return ProcessHarness::waitUntil(id + " is " + state, [&] { return job(entry, id).value("state", "") == state; });
}

int ProcessTest::waitForScheduler(int observer, int excluded) const
{
    int found = -1;
    ProcessHarness::waitUntil("a scheduler is elected", [&] {
        json view = m_harness.status(observer);
        std::string name = view.is_object() ? view.value("scheduler", "") : "";
        for (int i = 0; i < m_harness.entryCount(); ++i) {
            if (i != excluded && m_harness.entryName(i) == name)
                found = i;
        }
        return found >= 0;
    });
    return found;
}

bool ProcessTest::waitForGang(const std::string& id, int accelerators) const
{
    return ProcessHarness::waitUntil(id + " runs on all its accelerators", [&] {
        auto all = attempts(id);
        return std::any_of(
            all.begin(), all.end(), [accelerators](const auto& entry) { return entry.second.running == accelerators; });
    });
}

std::map<int, ProcessTest::Attempt> ProcessTest::attempts(const std::string& jobId, int dataCentre) const
{
    constexpr long notEnded = std::numeric_limits<long>::max();
    std::map<int, Attempt> result;
    for (const json& run : m_harness.workerJournal(dataCentre)) {
        if (run["job"] != jobId)
            continue;
        auto [entry, added] = result.try_emplace(run["attempt"].get<int>(), Attempt { .firstStart = notEnded });
        Attempt& attempt = entry->second;
        int accelerators = static_cast<int>(run["accelerators"].size());
        bool ended = !run["end_ms"].is_null();
        attempt.accelerators += accelerators;
        attempt.running += ended ? 0 : accelerators;
        attempt.succeeded += run["reason"] == "succeeded" ? accelerators : 0;
        attempt.firstStart = std::min(attempt.firstStart, run["start_ms"].get<long>());
        attempt.lastEnd = std::max(attempt.lastEnd, ended ? run["end_ms"].get<long>() : notEnded);
    }
    return result;
}

void ProcessTest::expectRanOnce(const std::string& jobId, int accelerators) const
{
    auto all = attempts(jobId);
    int complete = 0;
    long previousEnd = 0;
    for (const auto& [number, attempt] : all) {
        SCOPED_TRACE(jobId + " attempt " + std::to_string(number));
        complete += attempt.succeeded == accelerators ? 1 : 0;
        EXPECT_LE(attempt.accelerators, accelerators) << "a task was started twice";
        EXPECT_TRUE(attempt.succeeded == 0 || attempt.succeeded == accelerators) << "only a part of the gang succeeded";
        EXPECT_LE(previousEnd, attempt.firstStart) << "two attempts overlapped";
        previousEnd = attempt.lastEnd;
    }
    EXPECT_EQ(complete, 1) << m_harness.workerJournal().dump();
}

int ProcessTest::runsOfKey(const std::string& key) const
{
    return m_harness.backendJournal()["idempotency_keys"].value(key, 0);
}

int ProcessTest::runsOfRequest(const std::string& id) const
{
    return m_harness.backendJournal()["request_ids"].value(id, 0);
}

} // namespace lentilsaddle::testing_support
