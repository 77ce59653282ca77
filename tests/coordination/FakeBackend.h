/// @file
/// Backend server that counts how often each request runs.
#pragma once

#include "transport/HttpServer.h"
#include "transport/Task.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

class FakeBackend : public transport::Task<std::function<void()>> {
public:
    enum class Behaviour {
        Respond,
        /// Responds that the request was not started.
        Refuse,
        /// Runs the request, then closes the connection without a response.
        RunAndDisconnect,
        /// As RunAndDisconnect, and stops listening.
        RunAndStopServer,
        /// Runs the request and responds when sendDelayedResponses() is called.
        RunAndDelayResponse,
        /// Runs the request and responds with the identifier of another request.
        RunAndSendOtherId,
        /// Runs the request and announces in the response that the server shuts down.
        RunAndAnnounceShutdown,
        /// Runs the request and responds with an error.
        RunAndFail,
    };

    FakeBackend() { startServer(0).wait(); }
    ~FakeBackend() override { stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    void setBehaviour(std::function<Behaviour(const transport::HttpRequest&)> behaviour)
    {
        std::lock_guard lock(m_mutex);
        m_behaviour = std::move(behaviour);
    }

    /// @param id request identifier or idempotency key.
    /// @return how often requests with this identifier or key ran.
    int runs(const std::string& id) const
    {
        std::lock_guard lock(m_mutex);
        auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }

    int totalRuns() const { return m_totalRuns; }

    /// @return requests that arrived, refused ones included.
    int arrivals() const { return m_arrivals; }

    transport::HttpHeaders lastHeaders() const
    {
        std::lock_guard lock(m_mutex);
        return m_lastHeaders;
    }

    /// Sends the responses withheld by RunAndDelayResponse, the last one first.
    void sendDelayedResponses()
    {
        post([this] {
            for (auto send = m_delayedResponses.rbegin(); send != m_delayedResponses.rend(); ++send)
                (*send)();
            m_delayedResponses.clear();
        });
    }

    /// Stops listening and closes all connections.
    void close()
    {
        std::promise<void> closed;
        post([&] {
            m_server.reset();
            closed.set_value();
        });
        closed.get_future().wait();
    }

protected:
    void onMessage(std::function<void()> work) override { work(); }
    void onStop() override { m_server.reset(); }

private:
    std::future<void> startServer(std::uint16_t port)
    {
        auto started = std::make_shared<std::promise<void>>();
        post([this, port, started] {
            listen(port);
            started->set_value();
        });
        start();
        return started->get_future();
    }

    void listen(std::uint16_t port)
    {
        m_server = std::make_unique<transport::HttpServer>(loop(), transport::HttpServerOptions { .port = port },
            [this](transport::HttpRequest request, const transport::HttpResponder& respond) {
                handle(std::move(request), respond);
            });
        m_port = m_server->port();
    }

    void handle(transport::HttpRequest request, const transport::HttpResponder& respond)
    {
        ++m_arrivals;
        std::unique_lock lock(m_mutex);
        m_lastHeaders = request.headers;
        Behaviour behaviour = m_behaviour ? m_behaviour(request) : Behaviour::Respond;
        if (behaviour != Behaviour::Refuse) {
            ++m_totalRuns;
            ++m_runs[request.headers["request-id"]];
            ++m_runs[request.headers["idempotency-key"]];
        }
        lock.unlock();
        transport::HttpResponse response {
            .status = 200,
            .headers = { { "request-id", request.headers["request-id"] },
                { "request-attempt", request.headers["request-attempt"] }, { "content-type", "text/plain" } },
            .body = "answer to " + request.body,
        };
        respondAs(behaviour, std::move(response), respond);
    }

    void respondAs(Behaviour behaviour, transport::HttpResponse response, const transport::HttpResponder& respond)
    {
        switch (behaviour) {
        case Behaviour::Respond:
            break;
        case Behaviour::Refuse:
            response.status = 503;
            response.headers["request-not-started"] = "true";
            break;
        case Behaviour::RunAndDisconnect:
            loop().startTimer(std::chrono::microseconds(0), [this] {
                m_server.reset();
                listen(m_port);
            });
            return;
        case Behaviour::RunAndStopServer:
            loop().startTimer(std::chrono::microseconds(0), [this] { m_server.reset(); });
            return;
        case Behaviour::RunAndDelayResponse:
            m_delayedResponses.push_back([respond, response] { respond(response); });
            return;
        case Behaviour::RunAndSendOtherId:
            response.headers["request-id"] = "another request";
            break;
        case Behaviour::RunAndAnnounceShutdown:
            response.headers["connection"] = "close";
            break;
        case Behaviour::RunAndFail:
            response.status = 500;
            break;
        }
        respond(std::move(response));
    }

    mutable std::mutex m_mutex;
    std::function<Behaviour(const transport::HttpRequest&)> m_behaviour;
    std::map<std::string, int> m_runs;
    transport::HttpHeaders m_lastHeaders;
    std::atomic<int> m_arrivals = 0;
    std::atomic<int> m_totalRuns = 0;
    std::atomic<std::uint16_t> m_port = 0;
    std::vector<std::function<void()>> m_delayedResponses;
    std::unique_ptr<transport::HttpServer> m_server;
};

} // namespace lentilsaddle::coordination
