/// @file
/// Cache of responses to non-repeatable requests.
#pragma once

#include "coordination/requests/RequestMessage.h"
#include "state/KeyDigest.h"

#include <cstddef>
#include <deque>
#include <map>

namespace lentilsaddle::coordination {

/// Keeps recent responses of non-repeatable requests by idempotency key, for callers that repeat a request. Bounded in
/// bytes; the oldest responses are evicted first.
class ResponseCache {
public:
    /// @param capacityBytes limit of the cache size, in bytes.
    explicit ResponseCache(std::size_t capacityBytes);

    /// Adds the response of a key; a response that is already stored is not replaced.
    void store(const state::KeyDigest& key, const RequestMessage::ServiceResponse& response);

    /// @return the response, or null if it is not in the cache.
    const RequestMessage::ServiceResponse* find(const state::KeyDigest& key) const;

private:
    /// Approximate size of an entry without its body.
    static constexpr std::size_t overheadBytes = 256;

    std::size_t m_capacityBytes;
    std::size_t m_bytes = 0;
    std::map<state::KeyDigest, RequestMessage::ServiceResponse> m_responses;
    std::deque<state::KeyDigest> m_order;
};

} // namespace lentilsaddle::coordination
