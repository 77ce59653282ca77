/// @file
/// Small installation for the cases of the review: daemons as separate processes, stand-ins in this process.
#pragma once

#include "review/support/Runner.h"
#include "review/support/Store.h"
#include "tests/process/BlockingHttp.h"
#include "tests/process/ChildProcess.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lentilsaddle::review {

/// One step of a job.
struct JobStep {
    int count = 1;
    int accelerators = 1;
    std::chrono::milliseconds work { 0 };
    bool gang = false;
    std::vector<int> after;
};

/// Queues of the configuration, of priority 1 and 0.
inline constexpr const char* defaultQueue = "queue";
inline constexpr const char* urgentQueue = "urgent";

class Cluster {
public:
    using Clock = std::chrono::steady_clock;

    struct Options {
        /// File that gets the record of what was sent, answered and run.
        std::string recordPath;
        int daemons = 3;
        int runners = 8;
    };

    explicit Cluster(Options options);
    ~Cluster();

    /// Starts everything and waits until all daemons are ready.
    void start();

    Store& store() { return *m_store; }
    Runner& runner(int index) { return *m_runners.at(static_cast<std::size_t>(index)); }
    int runnerCount() const { return m_options.runners; }

    /// @return index of the daemon that the newest leader record names.
    int leader() const;

    /// Sends a call of a client with the tenant's key and records it.
    /// @param job id of the job, or empty for the queue itself.
    testing_support::HttpReply call(int daemon, const std::string& method, const std::string& job,
        const std::string& body = "", const std::string& queue = defaultQueue);
    testing_support::HttpReply submit(
        int daemon, const std::string& job, const std::vector<JobStep>& steps, const std::string& queue = defaultQueue);
    /// @return the job's state, or the status of the response if that is not 200.
    std::string state(int daemon, const std::string& job);

    /// Runs one work item with all accelerators on each runner, so that the leader has connections to all of them.
    void warmUp();

    /// @return all runs of a job on all runners, by the time of their starts.
    std::vector<std::pair<int, Runner::Run>> runsOf(const std::string& job) const;
    /// Waits for a condition.
    /// @return whether it held in time.
    static bool waitUntil(std::chrono::milliseconds limit, const std::function<bool()>& condition);

    /// Kills the daemons.
    void endDaemons();

    /// Adds a line to the record.
    void note(const std::string& text);

private:
    void startDaemon(int daemon, const std::string& settingsTemplate);
    void announceRunners();
    void writeConfiguration();
    void writeRecord();
    std::string timeText(Clock::time_point time) const;

    Options m_options;
    Clock::time_point m_begin = Clock::now();
    std::string m_temporaryFolder;
    std::vector<std::uint16_t> m_frontPorts;
    std::vector<std::uint16_t> m_readyPorts;
    std::vector<std::uint16_t> m_metricsPorts;
    std::vector<std::uint16_t> m_storePorts;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<testing_support::ChildProcess>> m_daemons;
    std::atomic<bool> m_ending = false;
    std::thread m_announcer;
    std::mutex m_recordMutex;
    std::vector<std::string> m_record;
};

/// Runs a case: `run.sh` passes the path of record.txt as the argument and TROUBLE in the environment.
/// @param body returns whether the rule held.
/// @return exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
int runCase(
    int argc, char** argv, int runners, const std::function<bool(Cluster& cluster, bool trouble)>& body) noexcept;

} // namespace lentilsaddle::review
