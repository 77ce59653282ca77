/// @file
/// Stand-in of many workers.
#pragma once

#include "tests/standin/SimulatedWorker.h"
#include "tests/standin/StandinTask.h"

#include <chrono>
#include <map>
#include <string>

namespace lentilsaddle::standin {

/// Serves the worker calls of section 9 of the design page, and for tests `GET /workers` (the list for the platform),
/// `GET /journal` and `POST /control`.
class WorkerHostTask : public StandinTask {
public:
    struct Options {
        int workers = 8;
        int accelerators = 8;
        int workersPerRack = 8;
        /// Start of the worker and rack names.
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
        /// Closes each connection without an answer.
        bool unreachable = false;
        /// Handles calls at once but answers late.
        std::chrono::milliseconds answerDelay { 0 };
        transport::EventLoop::TimerId timer = 0;
    };

    void addWorker(int index);
    nlohmann::json workerList() const;
    nlohmann::json journal();
    void control(const nlohmann::json& body);
    void call(HostedWorker& hosted, const std::string& call, const transport::HttpRequest& request,
        const transport::HttpResponder& responder);
    void answer(
        std::chrono::milliseconds delay, transport::HttpResponse response, const transport::HttpResponder& responder);
    void schedule(HostedWorker& hosted);

    Options m_options;
    std::map<std::string, HostedWorker> m_workers;
};

} // namespace lentilsaddle::standin
