#include "tests/transport/DrippingServer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace lentilsaddle::testing_support {

DrippingServer::DrippingServer(Options options)
    : m_options(std::move(options))
    , m_thread([this] { serve(); })
{
}

DrippingServer::~DrippingServer()
{
    m_listener.shutDown();
    // Ends the wait for a client that keeps the connection open.
    if (m_connection >= 0)
        shutdown(m_connection, SHUT_RDWR);
    m_thread.join();
    if (m_connection >= 0)
        close(m_connection);
}

void DrippingServer::serve()
{
    int connection = m_listener.accept();
    if (connection < 0)
        return;
    m_connection = connection;
    char buffer[4096];
    (void)recv(connection, buffer, sizeof buffer, 0);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(m_options.body.size()) + "\r\n\r\n";
    std::size_t count = std::min(m_options.bytesSent, m_options.body.size());
    if (count > 0)
        (void)send(connection, head.data(), head.size(), MSG_NOSIGNAL);
    for (char byte : m_options.body.substr(0, count)) {
        std::this_thread::sleep_for(m_options.interval);
        (void)send(connection, &byte, 1, MSG_NOSIGNAL);
    }
    // Returns when the client closes the connection, or the destructor shuts it down.
    (void)recv(connection, buffer, sizeof buffer, 0);
}

} // namespace lentilsaddle::testing_support
