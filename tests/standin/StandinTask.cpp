#include "tests/standin/StandinTask.h"

#include "tests/standin/JsonHttp.h"
#include "transport/Logger.h"
#include "transport/TransportError.h"

#include <csignal>
#include <cstdlib>

namespace lentilsaddle::standin {

StandinTask::StandinTask(Listeners listeners)
    : m_listeners(std::move(listeners))
{
}

void StandinTask::runUntilTerminated()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // The task's thread inherits the mask, so only sigwait() below receives the signals.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    start();
    int signal = 0;
    sigwait(&signals, &signal);
    stop();
}

void StandinTask::onStart()
{
    try {
        for (int i = 0; i < m_listeners.count; ++i)
            openListener(i);
    } catch (const transport::TransportError& error) {
        transport::writeLog(transport::LogLevel::Error, "standin", error.what());
        std::_Exit(EXIT_FAILURE);
    }
}

void StandinTask::openListener(int index)
{
    transport::HttpServerOptions options {
        .address = m_listeners.address,
        .port = static_cast<std::uint16_t>(m_listeners.firstPort + index),
        .maximumBodyBytes = 16 << 20,
        .connectionLimit = m_listeners.connectionsPerPort,
    };
    auto handler = [this, index](transport::HttpRequest request, const transport::HttpResponder& responder) {
        try {
            onRequest(index, std::move(request), responder);
        } catch (const std::exception& error) {
            responder(errorResponse(400, error.what()));
        }
    };
    m_servers.push_back(std::make_unique<transport::HttpServer>(loop(), options, handler));
}

void StandinTask::onStop()
{
    m_servers.clear();
}

} // namespace lentilsaddle::standin
