/// @file
/// Client of the soak test: submits jobs and records the responses.
#pragma once

#include "tests/process/BlockingHttp.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lentilsaddle::soak {

/// A submitted job and the outcome of its requests.
struct SoakJob {
    std::string id;
    std::string queue;
    std::string payload;
    int tasks = 1;
    bool alwaysFails = false;
    bool accepted = false;
    /// Each attempt got a response that rules out that the job was accepted.
    bool rejected = false;
    bool cancelSent = false;
    bool cancelAcknowledged = false;
};

/// Submits jobs and cancels some of them from its own thread over persistent connections. Each attempt, including each
/// retry, goes to a daemon drawn at random.
class SoakClient {
public:
    struct Options {
        /// Client ports of the daemons.
        std::vector<std::uint16_t> ports;
        std::uint64_t seed = 1;
        /// Pause between two submissions.
        std::chrono::milliseconds interval { 60 };
    };

    explicit SoakClient(Options options);
    ~SoakClient();

    /// Stops the thread after the current job.
    /// @return all submitted jobs.
    std::vector<SoakJob> stopSubmitting();

private:
    void run();
    SoakJob makeJob();
    std::string submissionBody(const SoakJob& job) const;
    void submit(SoakJob& job);
    void cancel(SoakJob& job);
    int call(const std::string& method, const SoakJob& job, const std::string& body);
    std::uint64_t draw(std::uint64_t limit) { return m_random() % limit; }

    Options m_options;
    std::mt19937_64 m_random;
    std::map<std::uint16_t, testing_support::HttpSession> m_sessions;
    std::vector<SoakJob> m_jobs;
    std::atomic<bool> m_stopRequested { false };
    std::thread m_thread;
};

} // namespace lentilsaddle::soak
