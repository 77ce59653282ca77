/// @file
/// Base of the tests on real processes.
#pragma once

#include "tests/process/ProcessHarness.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace lentilsaddle::testing_support {

/// Installation with a configuration in force, and calls in the words of the API.
class ProcessTest : public testing::Test {
protected:
    struct Request {
        std::string id;
        /// Not empty makes the request non-repeatable.
        std::string key;
        int workMs = 0;
        int deadlineMs = 30'000;
        std::string account = "shops";
    };

    /// What the workers' journals show of one attempt of a job.
    struct Attempt {
        int accelerators = 0;
        int succeeded = 0;
        int running = 0;
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
    /// Waits until an instance has read the service's request ledger and so may serve non-repeatable requests.
    bool waitForLedger(int entry) const;
    bool waitForJob(int entry, const std::string& id, const std::string& state) const;
    /// Waits until an instance other than `excluded` is known as scheduler.
    /// @return its index, or -1.
    int waitForScheduler(int observer, int excluded = -1) const;
    /// Waits until all accelerators of a gang run.
    bool waitForGang(const std::string& id, int accelerators) const;

    std::map<int, Attempt> attempts(const std::string& jobId, int dataCentre = 0) const;
    /// Expects that one attempt ran the whole gang to its end and that no two attempts overlapped.
    void expectRanOnce(const std::string& jobId, int accelerators) const;

    int runsOfKey(const std::string& key) const;
    int runsOfRequest(const std::string& id) const;

    ProcessHarness m_harness;
};

} // namespace lentilsaddle::testing_support
