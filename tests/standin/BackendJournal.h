/// @file
/// Journal of the requests that the stand-in backend servers received.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Counts the runs of each request id and idempotency key, and the requests that each server received.
class BackendJournal {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit BackendJournal(int servers);

    void recordRun(int server, const std::string& requestId, const std::string& key, Time now);
    void recordRefusal(int server, Time now);
    /// Records the time from which a server drains, that is, asks its callers to close their connections.
    void recordDraining(int server, Time now);

    nlohmann::json toJson() const;

private:
    struct Server {
        std::uint64_t runs = 0;
        std::uint64_t refusals = 0;
        std::int64_t lastArrivalMs = 0;
        std::int64_t drainingSinceMs = 0;
        /// Arrival times of the requests received while draining, including refused ones.
        std::vector<std::int64_t> arrivalsWhileDrainingMs;
    };

    void recordArrival(Server& server, Time now);

    std::vector<Server> m_servers;
    std::map<std::string, std::uint64_t> m_requestRuns;
    std::map<std::string, std::uint64_t> m_keyRuns;
};

} // namespace lentilsaddle::standin
