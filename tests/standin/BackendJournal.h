/// @file
/// What the stand-in backend servers ran.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Counts the runs of each request and key, and the arrivals at each server.
class BackendJournal {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit BackendJournal(int servers);

    void recordRun(int server, const std::string& requestId, const std::string& key, Time now);
    void recordRefusal(int server, Time now);
    /// Notes since when a server is leaving.
    void recordLeaving(int server, Time now);

    nlohmann::json toJson() const;

private:
    struct Server {
        std::uint64_t runs = 0;
        std::uint64_t refusals = 0;
        std::int64_t lastArrivalMs = 0;
        std::int64_t leavingSinceMs = 0;
        /// Arrivals after the server began to leave, refused ones included.
        std::vector<std::int64_t> arrivalsWhileLeavingMs;
    };

    void recordArrival(Server& server, Time now);

    std::vector<Server> m_servers;
    std::map<std::string, std::uint64_t> m_requestRuns;
    std::map<std::string, std::uint64_t> m_keyRuns;
};

} // namespace lentilsaddle::standin
