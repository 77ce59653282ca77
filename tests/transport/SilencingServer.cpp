#include "tests/transport/SilencingServer.h"

#include <sys/socket.h>
#include <unistd.h>

namespace lentilsaddle::testing_support {

SilencingServer::SilencingServer(const std::string& body, std::chrono::milliseconds delay)
    : m_response("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
    , m_delay(delay)
    , m_thread([this] { serve(); })
{
}

SilencingServer::~SilencingServer()
{
    m_listener.shutDown();
    m_thread.join();
    for (int connection : m_connections)
        shutdown(connection, SHUT_RDWR);
    for (std::thread& worker : m_workers)
        worker.join();
    for (int connection : m_connections)
        close(connection);
}

void SilencingServer::serve()
{
    for (int connection = m_listener.accept(); connection >= 0; connection = m_listener.accept()) {
        int number = ++m_accepted;
        std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_workers.emplace_back([this, connection, number] { serveConnection(connection, number); });
    }
}

void SilencingServer::serveConnection(int connection, int number) const
{
    char buffer[4096];
    std::string request;
    for (ssize_t count = recv(connection, buffer, sizeof buffer, 0); count > 0;
         count = recv(connection, buffer, sizeof buffer, 0)) {
        request.append(buffer, static_cast<std::size_t>(count));
        if (number <= m_silentUpTo || !request.ends_with("\r\n\r\n"))
            continue;
        request.clear();
        std::this_thread::sleep_for(m_delay);
        if (send(connection, m_response.data(), m_response.size(), MSG_NOSIGNAL) < 0)
            return;
    }
}

} // namespace lentilsaddle::testing_support
