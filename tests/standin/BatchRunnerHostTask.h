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
/// that are executed up to 3 s later and get no response), `restart` (index of the worker to restart) and
/// `accelerators` (pair of the index of a worker and its new number of accelerators);
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

    void advanceRunners();
    void advanceGangs(std::chrono::steady_clock::time_point now);
    void completeLongPolls(std::chrono::steady_clock::time_point now);
    BatchRunner::Response execute(std::size_t runner, const std::string& path, const nlohmann::json& command,
        std::chrono::steady_clock::time_point arrival);
    nlohmann::json journal() const;
    nlohmann::json applyControl(const nlohmann::json& body);

    std::vector<BatchRunner> m_runners;
    std::list<LongPoll> m_longPolls;
    /// Share of delayed commands, 0 to 1.
    double m_lateShare = 0;
    std::mt19937_64 m_random;
};

} // namespace lentilsaddle::standin
