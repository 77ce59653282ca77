#include "review/support-2/SilencingProxy.h"

#include "tests/process/FreePorts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <vector>

namespace lentilsaddle::review {

namespace {

    constexpr int pollTimeoutMs = 10;
    constexpr int backlog = 64;

    sockaddr_in loopbackAddress(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

} // namespace

SilencingProxy::SilencingProxy(std::uint16_t targetPort)
    : m_port(testing_support::findFreePorts(1))
    , m_targetPort(targetPort)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopbackAddress(m_port);
    bool listening = bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0
        && listen(m_listener, backlog) == 0;
    if (!listening)
        throw std::runtime_error("the proxy cannot listen");
    m_thread = std::thread([this] { run(); });
}

SilencingProxy::~SilencingProxy()
{
    m_stopping = true;
    m_thread.join();
    for (const Connection& connection : m_connections) {
        close(connection.client);
        close(connection.server);
    }
    close(m_listener);
}

void SilencingProxy::accept()
{
    Connection connection { .client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC),
        .server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    sockaddr_in address = loopbackAddress(m_targetPort);
    if (connect(connection.server, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(connection.client);
        close(connection.server);
        return;
    }
    m_connections.push_back(connection);
}

bool SilencingProxy::forward(int from, int to)
{
    std::array<char, 65'536> buffer {};
    ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
    if (size <= 0)
        return false;
    for (ssize_t sent = 0; sent < size;) {
        ssize_t count = send(to, buffer.data() + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += count;
    }
    return true;
}

void SilencingProxy::silenceConnections(int percentage)
{
    auto count = (m_connections.size() * static_cast<std::size_t>(percentage) + 99) / 100;
    for (Connection& connection : m_connections) {
        if (count == 0)
            return;
        connection.silent = true;
        --count;
    }
}

void SilencingProxy::run()
{
    while (!m_stopping) {
        if (int percentage = m_percentageToSilence.exchange(0))
            silenceConnections(percentage);
        std::vector<pollfd> descriptors { { .fd = m_listener, .events = POLLIN, .revents = 0 } };
        std::vector<Connection*> polled;
        for (Connection& connection : m_connections) {
            if (connection.silent)
                continue;
            polled.push_back(&connection);
            descriptors.push_back({ .fd = connection.client, .events = POLLIN, .revents = 0 });
            descriptors.push_back({ .fd = connection.server, .events = POLLIN, .revents = 0 });
        }
        poll(descriptors.data(), descriptors.size(), pollTimeoutMs);
        for (std::size_t index = 0; index < polled.size(); ++index) {
            Connection& connection = *polled[index];
            bool open = true;
            if (descriptors[1 + 2 * index].revents != 0)
                open = forward(connection.client, connection.server);
            if (open && descriptors[2 + 2 * index].revents != 0)
                open = forward(connection.server, connection.client);
            if (open)
                continue;
            close(connection.client);
            close(connection.server);
            connection.closed = true;
        }
        std::erase_if(m_connections, [](const Connection& connection) { return connection.closed; });
        if (descriptors[0].revents != 0)
            accept();
        m_open = static_cast<int>(m_connections.size());
    }
}

} // namespace lentilsaddle::review
