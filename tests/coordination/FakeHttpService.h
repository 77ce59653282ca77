/// @file
/// Fake HTTP service of the platform for task-level tests.
#pragma once

#include "tests/coordination/Mailbox.h"
#include "transport/HttpServer.h"
#include "transport/Task.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lentilsaddle::coordination {

/// Base of the fake services. A derived class calls start() at the end of its constructor and stop() in its destructor.
class FakeHttpService : public transport::Task<std::function<void()>> {
public:
    std::string url()
    {
        std::uint16_t port = 0;
        run([&] { port = m_port; });
        return "http://127.0.0.1:" + std::to_string(port);
    }
    /// Refuses connections until listen().
    void shutDown()
    {
        run([this] {
            onShutDown();
            m_server.reset();
        });
    }
    void listen()
    {
        run([this] { open(); });
    }

protected:
    void onStart() override { open(); }
    void onStop() override { m_server.reset(); }
    void onMessage(std::function<void()> work) override { work(); }
    virtual void handle(const transport::HttpRequest& request, transport::HttpResponder respond) = 0;
    virtual void onShutDown() { }

    /// Runs work on the service's thread and waits for it.
    void run(const std::function<void()>& work)
    {
        Mailbox<bool> done;
        post([&] {
            work();
            done.put(true);
        });
        done.take();
    }

private:
    void open()
    {
        m_server = std::make_unique<transport::HttpServer>(loop(), transport::HttpServerOptions { .port = m_port },
            [this](const transport::HttpRequest& request, transport::HttpResponder respond) {
                handle(request, std::move(respond));
            });
        m_port = m_server->port();
    }

    std::unique_ptr<transport::HttpServer> m_server;
    std::uint16_t m_port = 0;
};

} // namespace lentilsaddle::coordination
