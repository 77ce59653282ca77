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
/// retry, goes to a daemon drawn at random, but for jobs whose submission is repeated at the same daemon while an
/// earlier attempt may be in flight.
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
    /// How the attempts to submit one job follow each other.
    enum class Repetition {
        /// At any daemon, after the response or a long timeout.
        AnyDaemon,
        /// At the same daemon, after the response or a short timeout.
        SameDaemon,
        /// At the same daemon, on another connection while the attempt before waits for its response.
        Overlapping,
    };

    /// What a client may conclude from the status of an attempt.
    enum class Outcome {
        Accepted,
        Rejected,
        Unknown,
    };

    void run();
    SoakJob makeJob();
    std::string submissionBody(const SoakJob& job) const;
    void submit(SoakJob& job);
    void cancel(SoakJob& job);
    /// Sends a submission twice, overlapping in time.
    /// @return Accepted if one attempt was accepted, Rejected if both were rejected.
    Outcome submitOverlapping(const SoakJob& job, std::uint16_t port);
    Repetition drawRepetition();
    std::uint16_t drawPort() { return m_options.ports.at(draw(m_options.ports.size())); }
    static testing_support::BlockingRequest makeRequest(
        const std::string& method, const SoakJob& job, std::uint16_t port, const std::string& body);
    static Outcome outcomeOf(int status);
    std::uint64_t draw(std::uint64_t limit) { return m_random() % limit; }

    Options m_options;
    std::mt19937_64 m_random;
    /// Separate, so that a seed keeps its jobs.
    std::mt19937_64 m_repetitionRandom;
    std::map<std::uint16_t, testing_support::HttpSession> m_sessions;
    std::vector<SoakJob> m_jobs;
    std::atomic<bool> m_stopRequested { false };
    std::thread m_thread;
};

} // namespace lentilsaddle::soak
