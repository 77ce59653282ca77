#include "coordination/requests/AnswerCache.h"

namespace lentilsaddle::coordination {

AnswerCache::AnswerCache(std::size_t capacityBytes)
    : m_capacityBytes(capacityBytes)
{
}

void AnswerCache::store(const state::KeyDigest& key, const RequestMessage::ServiceResponse& answer)
{
    if (!m_answers.emplace(key, answer).second)
        return;
    m_order.push_back(key);
    m_bytes += answer.body.size() + overheadBytes;
    while (m_bytes > m_capacityBytes) {
        auto oldest = m_answers.find(m_order.front());
        m_bytes -= oldest->second.body.size() + overheadBytes;
        m_answers.erase(oldest);
        m_order.pop_front();
    }
}

const RequestMessage::ServiceResponse* AnswerCache::find(const state::KeyDigest& key) const
{
    auto found = m_answers.find(key);
    return found == m_answers.end() ? nullptr : &found->second;
}

} // namespace lentilsaddle::coordination
