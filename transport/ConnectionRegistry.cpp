#include "transport/ConnectionRegistry.h"

#include <sys/socket.h>

namespace lentilsaddle::transport {

void ConnectionRegistry::add(int descriptor, const std::string& server, Time now)
{
    m_connections.insert_or_assign(descriptor, Connection { .server = server, .lastResponse = now });
}

void ConnectionRegistry::remove(int descriptor)
{
    m_connections.erase(descriptor);
}

void ConnectionRegistry::setBusy(int descriptor, bool busy)
{
    if (auto found = m_connections.find(descriptor); found != m_connections.end())
        found->second.busy = busy;
}

void ConnectionRegistry::recordResponse(int descriptor, Time now)
{
    if (auto found = m_connections.find(descriptor); found != m_connections.end())
        found->second.lastResponse = now;
}

std::size_t ConnectionRegistry::shutDownIdle(const std::string& server, Time since)
{
    std::size_t count = 0;
    for (const auto& [descriptor, connection] : m_connections) {
        if (connection.busy || connection.server != server || connection.lastResponse >= since)
            continue;
        shutdown(descriptor, SHUT_RDWR);
        ++count;
    }
    return count;
}

} // namespace lentilsaddle::transport
