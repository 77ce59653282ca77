/// @file
/// Frame of a scripted case: real daemons with stand-ins of the platform on loopback, and the record of what happened.
#pragma once

#include "tests/soak/SoakCluster.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::review {

class CaseRun {
public:
    enum class Verdict {
        Held = 0,
        Broken = 1,
    };

    struct Options {
        int daemons = 3;
        int workers = 8;
        int accelerators = 8;
    };

    /// One run of a task on a worker, as the worker stand-in has seen it.
    struct Span {
        std::string task;
        std::int64_t run = 0;
        std::string worker;
        /// Milliseconds since the start of the case.
        std::int64_t begin = 0;
        std::optional<std::int64_t> end;
        std::string outcome;
    };

    CaseRun(const Options& options, const std::string& recordPath);
    ~CaseRun();

    /// @return whether the disruption is to be injected; false with TROUBLE=0 in the environment.
    bool trouble() const { return m_trouble; }
    soak::SoakCluster& cluster() { return *m_cluster; }
    /// @return temporary folder with the settings and logs of the processes.
    const std::string& folder() const { return m_folder; }
    /// @return program of the daemons.
    static std::string daemonPath();

    /// @return milliseconds since the start of the case.
    std::int64_t now() const;
    /// Writes a line with the current time to the record.
    void record(const std::string& text);
    /// Waits until all daemons are ready and one of them leads.
    void waitUntilServing();
    /// @return number of the daemon that leads, or -1.
    int leader() const;
    /// Sends a client's call to a daemon and records call and answer.
    /// @return status of the answer; 0 without one.
    int call(int daemon, const std::string& method, const std::string& path, const std::string& body = "");
    /// @return state of a job as a daemon answers it; the status if it is not 200.
    std::string jobState(int daemon, const std::string& path);
    /// @return the runs of the tasks whose names begin with the job's identifier, in order of their begin.
    std::vector<Span> spans(const std::string& job) const;
    void recordSpans(const std::string& job);
    /// Polls a condition until it holds.
    /// @return whether it held within the limit.
    static bool waitUntil(std::chrono::milliseconds limit, const std::function<bool()>& condition);

private:
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::ofstream m_record;
    bool m_trouble = true;
    std::string m_folder;
    std::unique_ptr<soak::SoakCluster> m_cluster;
};

/// Runs a case; the first argument names the record.
/// @return the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
int runCase(
    int argc, char** argv, const CaseRun::Options& options, const std::function<CaseRun::Verdict(CaseRun&)>& function);

} // namespace lentilsaddle::review
