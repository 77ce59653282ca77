/// @file
/// Collector of the time lines of several instances.
#pragma once

#include "coordination/peers/PeerMessage.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Collects one response from each instance and replies with the merged events after the last one. Not thread-safe.
class TimelineCollector {
public:
    /// @param expectedResponses number of instances queried.
    TimelineCollector(std::size_t expectedResponses, std::function<void(PeerMessage::TimelineResponse)> reply);

    /// @param events nothing if the instance did not respond.
    void add(const state::InstanceId& instance, std::optional<std::vector<state::TimelineEvent>> events);

private:
    std::size_t m_pendingResponses;
    std::function<void(PeerMessage::TimelineResponse)> m_reply;
    PeerMessage::TimelineResponse m_response;
};

} // namespace lentilsaddle::coordination
