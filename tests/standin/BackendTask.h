/// @file
/// Stand-in for several backend servers.
#pragma once

#include "tests/standin/BackendJournal.h"
#include "tests/standin/StandinTask.h"

#include <chrono>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Serves one backend server on each listener. `POST` on any path runs a request; tests use `GET /journal` and
/// `POST /control`, which sets the faults of one server or of all.
class BackendTask : public StandinTask {
public:
    struct Options {
        /// Requests that one server runs at the same time.
        int slots = 8;
        /// Run time of a request whose body has no `work_ms`.
        std::chrono::milliseconds defaultWorkTime { 0 };
    };

    BackendTask(const Listeners& listeners, Options options);
    ~BackendTask() override;

protected:
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    struct Server {
        int running = 0;
        /// Responds with status 500 after the run.
        bool failRequests = false;
        /// Runs the request, then closes the connection without a response.
        bool dropAfterRun = false;
        /// Refuses every request with status 503 before it runs.
        bool refuseRequests = false;
        /// Sends `Connection: close` with each response.
        bool draining = false;
        std::chrono::milliseconds responseDelay { 0 };
    };

    void applyControl(const nlohmann::json& body);
    void refuseRequest(int index, const transport::HttpResponder& responder);
    void runRequest(int index, const transport::HttpRequest& request, const transport::HttpResponder& responder);
    void finishRequest(
        int index, const std::string& requestId, const std::string& body, const transport::HttpResponder& responder);
    transport::HttpResponse withServerHeaders(const Server& server, transport::HttpResponse response) const;

    Options m_options;
    std::vector<Server> m_servers;
    BackendJournal m_journal;
};

} // namespace lentilsaddle::standin
