/// @file
/// Stand-in for many workers.
#pragma once

#include "tests/standin/SimulatedWorker.h"
#include "tests/standin/StandinTask.h"

#include <chrono>
#include <map>
#include <string>

namespace lentilsaddle::standin {

/// Serves the calls of all workers on one port (design page, section 9). For tests: `GET /workers` (the worker list in
/// the format that the platform's stand-in accepts), `GET /journal` (runs of all workers) and `POST /control` (faults).
class WorkerHostTask : public StandinTask {
public:
    struct Options {
        int workers = 8;
        int accelerators = 8;
        int workersPerRack = 8;
        /// Prefix of the worker and rack names.
        std::string prefix = "w";
    };

    WorkerHostTask(Listeners listeners, Options options);
    ~WorkerHostTask() override;

protected:
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    struct HostedWorker {
        SimulatedWorker worker;
        std::string rack;
        int position = 0;
        /// Closes the connection of each call without a response.
        bool unreachable = false;
        /// Delay of responses; the calls themselves take effect at once.
        std::chrono::milliseconds responseDelay { 0 };
        transport::EventLoop::TimerId timer = 0;
    };

    void addWorker(int index);
    nlohmann::json workerList() const;
    nlohmann::json journal();
    void applyControl(const nlohmann::json& body);
    void handleCall(HostedWorker& hosted, const std::string& call, const transport::HttpRequest& request,
        const transport::HttpResponder& responder);
    void sendResponse(
        std::chrono::milliseconds delay, transport::HttpResponse response, const transport::HttpResponder& responder);
    void scheduleAdvance(HostedWorker& hosted);

    Options m_options;
    std::map<std::string, HostedWorker> m_workers;
};

} // namespace lentilsaddle::standin
