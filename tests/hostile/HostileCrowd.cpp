#include "tests/hostile/HostileCrowd.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <system_error>

namespace lentilsaddle::testing_support {

namespace {

    // A slow reader: the server's responses beyond this stay on its side.
    constexpr int receiveBufferBytes = 4'096;

    int connectTo(std::uint16_t port)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            throw std::system_error(errno, std::generic_category(), "socket");
        timeval sendLimit { .tv_sec = 5, .tv_usec = 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &sendLimit, sizeof sendLimit);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return descriptor;
        int error = errno;
        close(descriptor);
        throw std::system_error(error, std::generic_category(), "connect");
    }

    std::string chunkHeader(std::size_t bytes)
    {
        char text[32];
        int length = std::snprintf(text, sizeof text, "%zx\r\n", bytes);
        return { text, static_cast<std::size_t>(length) };
    }

} // namespace

HostileCrowd::HostileCrowd(const Plan& plan)
    : m_plan(plan)
    , m_connections(static_cast<std::size_t>(plan.connections))
{
    for (std::size_t index = 0; index < m_connections.size(); ++index) {
        Connection& connection = m_connections[index];
        connection.descriptor = connectTo(m_plan.port);
        connection.complete = m_plan.completeEvery > 0 && index % static_cast<std::size_t>(m_plan.completeEvery) == 0;
        send(connection, header(connection.complete));
    }
    for (std::size_t sent = 0; sent < m_plan.sentBytes; sent += m_plan.pieceBytes) {
        for (Connection& connection : m_connections)
            sendPiece(connection);
    }
}

HostileCrowd::~HostileCrowd()
{
    for (const Connection& connection : m_connections)
        close(connection.descriptor);
}

std::string HostileCrowd::header(bool complete) const
{
    if (m_plan.endlessHeader)
        return m_plan.header + "X-Filler: ";
    if (m_plan.announcedBytes == 0)
        return m_plan.header + (m_plan.conflictingLength ? "Content-Length: 1\r\n" : "")
            + "Transfer-Encoding: chunked\r\n\r\n";
    std::size_t length = complete ? m_plan.sentBytes : m_plan.announcedBytes;
    return m_plan.header + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

void HostileCrowd::sendPiece(Connection& connection) const
{
    std::size_t size = std::min(m_plan.pieceBytes, m_plan.sentBytes - connection.sent);
    if (size == 0 || connection.closedByServer)
        return;
    std::string bytes;
    bool chunked = m_plan.announcedBytes == 0 && !m_plan.endlessHeader;
    for (std::size_t done = 0; done < size; done += m_plan.chunkBytes) {
        std::size_t chunk = std::min(m_plan.chunkBytes, size - done);
        if (chunked)
            bytes += chunkHeader(chunk);
        bytes.append(chunk, ' ');
        if (chunked)
            bytes += "\r\n";
    }
    connection.sent += size;
    if (chunked && connection.complete && connection.sent == m_plan.sentBytes)
        bytes += "0\r\n\r\n";
    send(connection, bytes);
}

void HostileCrowd::send(Connection& connection, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size() && !connection.closedByServer) {
        ssize_t result = ::send(connection.descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (result > 0)
            sent += static_cast<std::size_t>(result);
        else if (errno != EINTR)
            connection.closedByServer = true;
    }
}

} // namespace lentilsaddle::testing_support
