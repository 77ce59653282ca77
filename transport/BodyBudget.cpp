#include "transport/BodyBudget.h"

#include <string_view>
#include <utility>

namespace lentilsaddle::transport {

BodyBudget::BodyBudget(const Options& options)
    : m_options(options)
{
}

BodyBudget::RequestId BodyBudget::open(const std::string& client, std::size_t bytes, Time now, DropHook onDrop)
{
    if (!makeRoom(bytes, bytes, now, 0))
        return 0;
    RequestId id = m_nextRequest++;
    m_requests.emplace(
        id, Request { .client = client, .bytes = bytes, .lastProgress = now, .onDrop = std::move(onDrop) });
    m_heldBytes += bytes;
    m_clients[client].bytes += bytes;
    ++m_clients[client].requests;
    return id;
}

bool BodyBudget::resize(RequestId request, std::size_t bytes, Time now)
{
    auto found = m_requests.find(request);
    if (found == m_requests.end())
        return false;
    Request& entry = found->second;
    if (bytes > entry.bytes && !makeRoom(bytes, bytes - entry.bytes, now, request))
        return false;
    m_heldBytes += bytes - entry.bytes;
    m_clients[entry.client].bytes += bytes - entry.bytes;
    entry.bytes = bytes;
    return true;
}

void BodyBudget::recordTransfer(RequestId request, std::size_t bytes, Time now)
{
    auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    found->second.transferred += bytes;
    if (found->second.transferred < m_options.progressBytes)
        return;
    found->second.transferred = 0;
    found->second.lastProgress = now;
}

void BodyBudget::startRunning(RequestId request)
{
    if (auto found = m_requests.find(request); found != m_requests.end())
        found->second.running = true;
}

void BodyBudget::startSending(RequestId request, Time now)
{
    auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    found->second.running = false;
    found->second.transferred = 0;
    found->second.lastProgress = now;
}

void BodyBudget::close(RequestId request)
{
    if (auto found = m_requests.find(request); found != m_requests.end())
        remove(found);
}

std::size_t BodyBudget::heldBytes(const std::string& client) const
{
    auto found = m_clients.find(client);
    return found == m_clients.end() ? 0 : found->second.bytes;
}

std::size_t BodyBudget::limitFor(std::size_t size) const
{
    if (size <= m_options.smallBytes)
        return m_options.limitBytes;
    return m_options.limitBytes
        - static_cast<std::size_t>(static_cast<double>(m_options.limitBytes) * m_options.smallShare);
}

bool BodyBudget::makeRoom(std::size_t size, std::size_t bytes, Time now, RequestId exempt)
{
    std::size_t limit = limitFor(size);
    if (size > limit)
        return false;
    while (m_heldBytes + bytes > limit) {
        auto found = findDroppable(size, now, exempt);
        if (found == m_requests.end())
            return false;
        DropHook onDrop = std::move(found->second.onDrop);
        remove(found);
        if (onDrop)
            onDrop();
    }
    return true;
}

BodyBudget::Requests::iterator BodyBudget::findDroppable(std::size_t size, Time now, RequestId exempt)
{
    auto longest = m_requests.end();
    std::map<std::string_view, std::size_t> droppableBytes;
    std::size_t totalBytes = 0;
    for (auto entry = m_requests.begin(); entry != m_requests.end(); ++entry) {
        const Request& request = entry->second;
        if (entry->first == exempt || request.running)
            continue;
        droppableBytes[request.client] += request.bytes;
        totalBytes += request.bytes;
        if (longest == m_requests.end() || request.lastProgress < longest->second.lastProgress)
            longest = entry;
    }
    if (longest == m_requests.end() || now - longest->second.lastProgress >= m_options.stallTime)
        return longest;
    if (size > m_options.smallBytes)
        return m_requests.end();
    // At least one client holds the mean or more, so that this finds a request.
    std::size_t equalPart = totalBytes / droppableBytes.size();
    longest = m_requests.end();
    for (auto entry = m_requests.begin(); entry != m_requests.end(); ++entry) {
        const Request& request = entry->second;
        if (entry->first == exempt || request.running || droppableBytes[request.client] < equalPart)
            continue;
        if (longest == m_requests.end() || request.lastProgress < longest->second.lastProgress)
            longest = entry;
    }
    return longest;
}

BodyBudget::Requests::iterator BodyBudget::remove(Requests::iterator request)
{
    auto client = m_clients.find(request->second.client);
    client->second.bytes -= request->second.bytes;
    m_heldBytes -= request->second.bytes;
    if (--client->second.requests == 0)
        m_clients.erase(client);
    return m_requests.erase(request);
}

} // namespace lentilsaddle::transport
