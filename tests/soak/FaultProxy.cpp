#include "tests/soak/FaultProxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>
#include <vector>

namespace lentilsaddle::soak {

namespace {

    constexpr std::size_t maxReadBytes = 65'536;
    constexpr int backlog = 256;
    constexpr std::chrono::milliseconds throttleInterval { 10 };

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

} // namespace

struct FaultProxy::Connection {
    int client = -1;
    int server = -1;
    /// Bytes received and not yet sent to the other side.
    std::string toServer;
    std::string toClient;
    bool open = true;
};

FaultProxy::FaultProxy(std::uint16_t listenPort, std::uint16_t targetPort)
    : m_listenPort(listenPort)
    , m_targetPort(targetPort)
{
}

FaultProxy::~FaultProxy()
{
    stop();
}

void FaultProxy::onStart()
{
    openListener();
}

void FaultProxy::openListener()
{
    if (m_listener >= 0)
        return;
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int enabled = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = loopback(m_listenPort);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || listen(m_listener, backlog) != 0)
        throw std::system_error(errno, std::generic_category(), "fault proxy cannot listen on its loopback port");
    loop().watchDescriptor(m_listener, true, false, [this](bool, bool) { acceptConnection(); });
}

void FaultProxy::onStop()
{
    while (!m_connections.empty())
        closeConnection(m_connections.begin()->second, false);
    closeListener();
}

void FaultProxy::closeListener()
{
    if (m_listener < 0)
        return;
    loop().unwatchDescriptor(m_listener);
    close(std::exchange(m_listener, -1));
}

void FaultProxy::onMessage(FaultProxyMode mode)
{
    m_mode = mode;
    loop().cancelTimer(std::exchange(m_throttleTimer, 0));
    if (mode.kind == FaultProxyMode::Kind::Throttle)
        forwardThrottled();
    bool refusesConnections
        = mode.kind == FaultProxyMode::Kind::Refuse || mode.kind == FaultProxyMode::Kind::CutResponses;
    if (refusesConnections)
        closeListener();
    else
        openListener();
    std::map<int, std::shared_ptr<Connection>> connections = m_connections;
    for (const auto& [descriptor, connection] : connections) {
        if (mode.kind == FaultProxyMode::Kind::Reset || mode.kind == FaultProxyMode::Kind::Refuse)
            closeConnection(connection, true);
        else
            flush(connection);
    }
}

bool FaultProxy::isStalled(bool fromClient) const
{
    bool holdsResponses
        = m_mode.kind == FaultProxyMode::Kind::StallResponses || m_mode.kind == FaultProxyMode::Kind::Throttle;
    return m_mode.kind == FaultProxyMode::Kind::Stall || (holdsResponses && !fromClient);
}

void FaultProxy::forwardThrottled()
{
    std::size_t share = m_mode.bytesPerSecond * static_cast<std::size_t>(throttleInterval.count()) / 1'000;
    std::map<int, std::shared_ptr<Connection>> connections = m_connections;
    for (const auto& [descriptor, connection] : connections) {
        std::size_t size = std::min(share, connection->toClient.size());
        if (descriptor != connection->client || size == 0 || !connection->open)
            continue;
        ssize_t sent = ::send(connection->client, connection->toClient.data(), size, MSG_NOSIGNAL);
        if (sent <= 0) {
            closeConnection(connection, true);
            continue;
        }
        connection->toClient.erase(0, static_cast<std::size_t>(sent));
        share -= static_cast<std::size_t>(sent);
    }
    m_throttleTimer = loop().startTimer(throttleInterval, [this] { forwardThrottled(); });
}

void FaultProxy::acceptConnection()
{
    int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (client < 0)
        return;
    auto connection = std::make_shared<Connection>();
    connection->client = client;
    connection->server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(m_targetPort);
    // A blocking connect() is safe: on loopback it succeeds or fails immediately.
    bool connected = connect(connection->server, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    m_connections[connection->client] = connection;
    m_connections[connection->server] = connection;
    if (!connected || m_mode.kind == FaultProxyMode::Kind::Reset) {
        closeConnection(connection, true);
        return;
    }
    for (int descriptor : { connection->client, connection->server })
        loop().watchDescriptor(descriptor, true, false, [this, descriptor](bool, bool) { onReadable(descriptor); });
}

void FaultProxy::onReadable(int descriptor)
{
    auto found = m_connections.find(descriptor);
    if (found == m_connections.end())
        return;
    std::shared_ptr<Connection> connection = found->second;
    std::vector<char> chunk(maxReadBytes);
    ssize_t size = recv(descriptor, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    bool fromClient = descriptor == connection->client;
    if (size <= 0 || (!fromClient && m_mode.kind == FaultProxyMode::Kind::CutResponses)) {
        closeConnection(connection, false);
        return;
    }
    std::string bytes(chunk.data(), static_cast<std::size_t>(size));
    if (m_mode.kind != FaultProxyMode::Kind::Delay) {
        forward(connection, fromClient, bytes);
        return;
    }
    loop().startTimer(m_mode.delay, [this, connection, fromClient, bytes] { forward(connection, fromClient, bytes); });
}

void FaultProxy::forward(const std::shared_ptr<Connection>& connection, bool fromClient, const std::string& bytes)
{
    (fromClient ? connection->toServer : connection->toClient) += bytes;
    flush(connection);
}

void FaultProxy::flush(const std::shared_ptr<Connection>& connection)
{
    if (!connection->open)
        return;
    auto send = [](int descriptor, std::string& bytes) {
        while (!bytes.empty()) {
            // A blocking write is short, since both peers are on loopback and keep reading.
            ssize_t sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return errno == EAGAIN;
            bytes.erase(0, static_cast<std::size_t>(sent));
        }
        return true;
    };
    bool alive = isStalled(true) || send(connection->server, connection->toServer);
    alive = (isStalled(false) || send(connection->client, connection->toClient)) && alive;
    if (!alive)
        closeConnection(connection, true);
}

void FaultProxy::closeConnection(const std::shared_ptr<Connection>& connection, bool reset)
{
    if (!std::exchange(connection->open, false))
        return;
    for (int descriptor : { connection->client, connection->server }) {
        linger abort { .l_onoff = 1, .l_linger = 0 };
        if (reset)
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        loop().unwatchDescriptor(descriptor);
        m_connections.erase(descriptor);
        close(descriptor);
    }
}

} // namespace lentilsaddle::soak
