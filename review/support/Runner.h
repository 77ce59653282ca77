/// @file
/// Stand-in for one runner.
#pragma once

#include "review/support/Http.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lentilsaddle::review {

/// Runs work items under a lease. A start's `spec` is a JSON object with `work_ms` and, for a gang, `gang` (its number
/// of members, which all have to run on this runner).
class Runner {
public:
    using Clock = std::chrono::steady_clock;

    enum class Health {
        Good,
        /// Each run fails when it begins to work.
        FailsRuns,
        /// The first start of each run is executed, and its connection is reset in place of a response; later ones get
        /// status 503 and have no effect.
        ResetsAndRefuses,
    };

    struct Run {
        std::string task;
        std::int64_t number = 0;
        Clock::time_point begin;
        std::optional<Clock::time_point> end;
        std::string outcome;
        /// When a response first listed the end.
        std::optional<Clock::time_point> endListed;
    };

    /// @param log gets a line for each start and stop.
    Runner(std::string id, std::uint16_t port, std::chrono::milliseconds longestLease, Log log);
    ~Runner();

    const std::string& id() const { return m_id; }
    std::uint16_t port() const { return m_server.port(); }
    std::int64_t born() const;
    bool up() const;

    void setHealth(Health health);
    /// Ends all runs and resets all connections; the port refuses connections until restart().
    void crash();
    /// Begins a new lifetime under the same id.
    void restart();
    /// Crashes without closing connections, as a machine that loses power: nothing is executed or answered until
    /// restartAfterSilence().
    void loseSilently();
    /// Resets the old connections and begins a new lifetime under the same id.
    void restartAfterSilence();

    /// @return all runs of all lifetimes, in the order of their starts.
    std::vector<Run> runs() const;

private:
    struct Active {
        std::size_t run = 0;
        std::chrono::milliseconds work { 0 };
        int gangSize = 1;
        std::optional<Clock::time_point> workBegin;
        std::optional<Clock::time_point> stopAt;
    };

    struct End {
        std::int64_t number = 0;
        std::size_t run = 0;
    };

    ServerResponse handle(const ServerRequest& request);
    ServerResponse execute(std::unique_lock<std::mutex>& lock, const std::string& path, const nlohmann::json& body);
    ServerResponse start(const nlohmann::json& body);
    ServerResponse stop(const nlohmann::json& body);
    ServerResponse hold(std::unique_lock<std::mutex>& lock, const nlohmann::json& body);
    ServerResponse respond(int status, const std::string& reason = "") const;
    std::int64_t clockMs() const;
    bool acceptFence(const nlohmann::json& body);
    void extendLease(const nlohmann::json& body);
    void advance();
    void endRun(const std::string& task, const std::string& outcome);
    void beginLifetime();
    void work();

    std::string m_id;
    Log m_log;
    std::chrono::milliseconds m_longestLease;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_up = true;
    bool m_silent = false;
    bool m_ending = false;
    Health m_health = Health::Good;
    std::int64_t m_born = 0;
    Clock::time_point m_lifetimeBegin;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Active> m_active;
    /// Highest number of a run that was stopped or has ended, by work item.
    std::map<std::string, std::int64_t> m_closed;
    std::vector<End> m_ends;
    std::vector<Run> m_runs;
    Server m_server;
    std::thread m_worker;
};

} // namespace lentilsaddle::review
