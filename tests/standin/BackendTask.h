/// @file
/// Stand-in of several backend servers.
#pragma once

#include "tests/standin/BackendJournal.h"
#include "tests/standin/StandinTask.h"

#include <chrono>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Each listener is one backend server. Any path takes `POST`; `GET /journal` and `POST /control` serve tests.
class BackendTask : public StandinTask {
public:
    struct Options {
        /// Requests that one server runs at the same time.
        int slots = 8;
        /// Run time of a request whose body names none.
        std::chrono::milliseconds work { 0 };
    };

    BackendTask(const Listeners& listeners, Options options);
    ~BackendTask() override;

protected:
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    struct Server {
        int running = 0;
        /// Answers 500 after running.
        bool fail = false;
        /// Runs the request, then closes the connection without an answer.
        bool dropAfterRun = false;
        /// Refuses every request before start.
        bool refuse = false;
        /// Sends `Connection: close` with each answer.
        bool leaving = false;
        std::chrono::milliseconds answerDelay { 0 };
    };

    void control(const nlohmann::json& body);
    void refuse(int index, const transport::HttpResponder& responder);
    void run(int index, const transport::HttpRequest& request, const transport::HttpResponder& responder);
    void finish(
        int index, const std::string& requestId, const std::string& body, const transport::HttpResponder& responder);
    transport::HttpResponse withServerHeaders(const Server& server, transport::HttpResponse response) const;

    Options m_options;
    std::vector<Server> m_servers;
    BackendJournal m_journal;
};

} // namespace lentilsaddle::standin
