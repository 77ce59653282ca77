/// @file
/// Stand-in for many workers that run batch tasks.
#pragma once

#include "tests/standin/BatchRunner.h"
#include "tests/standin/StandinTask.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <random>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Serves one worker on each of its ports. For tests: `POST /control` with `late` (share of start and stop commands
/// that are executed up to 3 s later and get no response), `restart` (index of the worker to restart),
/// `accelerators` (pair of the index of a worker and its new number of accelerators) and `unhealthy` (triple of the
/// index of a worker, the share of requests that it answers with 429 or 503 without executing them, and the share that
/// it executes before it closes the connection without a response);
/// `GET /journal` returns the runs of all workers.
class BatchRunnerHostTask : public StandinTask {
public:
    BatchRunnerHostTask(Listeners listeners, int accelerators, std::uint64_t seed);
    ~BatchRunnerHostTask() override;

protected:
    void onStart() override;
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    /// Lease renewal without a response until a run ends or the wait time is over.
    struct LongPoll {
        std::size_t runner = 0;
        std::int64_t incarnation = 0;
        transport::HttpResponder responder;
        std::chrono::steady_clock::time_point deadline {};
    };

    /// Shares of the requests to one worker, 0 to 1.
    struct RequestFaults {
        /// Answered with 429 or 503 and not executed.
        double refusedShare = 0;
        /// Executed; the connection closes without a response. Drawn from the requests that are not refused.
        double cutShare = 0;
    };

    void advanceRunners();
    void advanceGangs(std::chrono::steady_clock::time_point now);
    void completeLongPolls(std::chrono::steady_clock::time_point now);
    BatchRunner::Response execute(std::size_t runner, const std::string& path, const nlohmann::json& command,
        std::chrono::steady_clock::time_point arrival);
    nlohmann::json journal() const;
    nlohmann::json applyControl(const nlohmann::json& body);
    bool drawRequestFault(double share) { return std::uniform_real_distribution<>(0, 1)(m_requestFaultRandom) < share; }

    std::vector<BatchRunner> m_runners;
    std::list<LongPoll> m_longPolls;
    /// Share of delayed commands, 0 to 1.
    double m_lateShare = 0;
    std::mt19937_64 m_random;
    /// By worker.
    std::vector<RequestFaults> m_requestFaults;
    /// Separate, so that a seed keeps its late commands.
    std::mt19937_64 m_requestFaultRandom;
};

} // namespace lentilsaddle::standin
