#include "tests/transport/DrippingServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace lentilsaddle::testing_support {

DrippingServer::DrippingServer(Options options)
    : m_options(std::move(options))
    , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(m_socket, 1);
    socklen_t length = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { serve(); });
}

DrippingServer::~DrippingServer()
{
    shutdown(m_socket, SHUT_RDWR);
    // Ends the wait for a client that keeps the connection open.
    if (m_connection >= 0)
        shutdown(m_connection, SHUT_RDWR);
    m_thread.join();
    if (m_connection >= 0)
        close(m_connection);
    close(m_socket);
}

void DrippingServer::serve()
{
    int connection = accept(m_socket, nullptr, nullptr);
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
