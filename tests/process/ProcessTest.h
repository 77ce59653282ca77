/// @file
/// Fixture of the tests on real processes.
#pragma once

#include "tests/process/ProcessHarness.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace lentilsaddle::testing_support {

/// Runs an installation whose configuration is in force, and sends requests to its public API.
class ProcessTest : public testing::Test {
protected:
    struct Request {
        std::string id;
        /// Idempotency key; the request is non-repeatable if it is set.
        std::string key;
        int workMs = 0;
        int deadlineMs = 30'000;
        std::string account = "shops";
    };

    /// One attempt of a job according to the journals of the workers.
    struct Attempt {
        int accelerators = 0;
        /// Accelerators whose task succeeded.
        int succeeded = 0;
        /// Accelerators whose task still runs.
        int running = 0;
        /// Times in milliseconds of the workers' clock.
        long firstStart = 0;
        long lastEnd = 0;
    };

    explicit ProcessTest(ProcessHarness::Options options = {});
    void SetUp() override;

    HttpReply request(int entry, const Request& request) const;
    HttpReply patch(int entry, const std::string& id, int base, const nlohmann::json& mergePatch) const;
    /// Submits a job of `tasks` one-accelerator tasks adjacent in a rack; `changes` overrides fields.
    HttpReply submit(int entry, const std::string& id, int tasks, const nlohmann::json& changes = {}) const;

    int version(int entry) const;
    nlohmann::json job(int entry, const std::string& id) const;
    /// Waits until an entry instance has replayed the request ledger of the service, without which it refuses
    /// non-repeatable requests.
    bool waitForLedger(int entry) const;
    bool waitForJob(int entry, const std::string& id, const std::string& state) const;
    /// Waits until the instance `observer` reports an instance other than `excluded` as the scheduler.
    /// @return index of the scheduler, or -1 if none is reported in time.
    int waitForScheduler(int observer, int excluded = -1) const;
    /// Waits until an attempt of the job runs on all its accelerators.
    bool waitForGang(const std::string& id, int accelerators) const;

    std::map<int, Attempt> attempts(const std::string& jobId, int dataCentre = 0) const;
    /// Expects that the whole gang succeeded in exactly one attempt and that no two attempts overlapped.
    void expectRanOnce(const std::string& jobId, int accelerators) const;

    int runsOfKey(const std::string& key) const;
    int runsOfRequest(const std::string& id) const;

    ProcessHarness m_harness;
};

} // namespace lentilsaddle::testing_support
