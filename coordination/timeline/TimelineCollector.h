/// @file
/// Merge of the time lines of several instances.
#pragma once

#include "coordination/peers/PeerMessage.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Collects one answer from each instance and replies when the last one is in. Belongs to one thread.
class TimelineCollector {
public:
    /// @param expectedResponses number of answers.
    TimelineCollector(std::size_t expectedResponses, std::function<void(PeerMessage::TimelineResponse)> reply);

    /// @param events nothing if the instance did not answer.
    void add(const state::InstanceId& instance, std::optional<std::vector<state::TimelineEvent>> events);

private:
    std::size_t m_pendingResponses;
    std::function<void(PeerMessage::TimelineResponse)> m_reply;
    PeerMessage::TimelineResponse m_response;
};

} // namespace lentilsaddle::coordination
