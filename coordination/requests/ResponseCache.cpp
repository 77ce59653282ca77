#include "coordination/requests/ResponseCache.h"

namespace lentilsaddle::coordination {

ResponseCache::ResponseCache(std::size_t capacityBytes)
    : m_capacityBytes(capacityBytes)
{
}

void ResponseCache::store(const state::KeyDigest& key, const RequestMessage::ServiceResponse& response)
{
    if (!m_responses.emplace(key, response).second)
        return;
    m_order.push_back(key);
    m_bytes += response.body.size() + overheadBytes;
    while (m_bytes > m_capacityBytes) {
        auto oldest = m_responses.find(m_order.front());
        m_bytes -= oldest->second.body.size() + overheadBytes;
        m_responses.erase(oldest);
        m_order.pop_front();
    }
}

const RequestMessage::ServiceResponse* ResponseCache::find(const state::KeyDigest& key) const
{
    auto found = m_responses.find(key);
    return found == m_responses.end() ? nullptr : &found->second;
}

} // namespace lentilsaddle::coordination
