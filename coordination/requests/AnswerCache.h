/// @file
/// Recent answers of non-repeatable requests.
#pragma once

#include "coordination/requests/RequestMessage.h"
#include "state/KeyDigest.h"

#include <cstddef>
#include <deque>
#include <map>

namespace lentilsaddle::coordination {

/// Bounded cache; the oldest answers are dropped first.
class AnswerCache {
public:
    /// @param capacityBytes bodies kept, in bytes.
    explicit AnswerCache(std::size_t capacityBytes);

    void store(const state::KeyDigest& key, const RequestMessage::ServiceResponse& answer);

    /// @return the answer, or null if it is not kept.
    const RequestMessage::ServiceResponse* find(const state::KeyDigest& key) const;

private:
    /// Size counted for an answer besides its body.
    static constexpr std::size_t overheadBytes = 256;

    std::size_t m_capacityBytes;
    std::size_t m_bytes = 0;
    std::map<state::KeyDigest, RequestMessage::ServiceResponse> m_answers;
    std::deque<state::KeyDigest> m_order;
};

} // namespace lentilsaddle::coordination
