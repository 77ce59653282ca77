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
class TimelineCollection {
public:
    /// @param expected number of answers.
    TimelineCollection(std::size_t expected, std::function<void(PeerMessage::TimelineAnswer)> reply);

    /// @param events nothing if the instance did not answer.
    void add(const state::InstanceId& instance, std::optional<std::vector<state::TimelineEvent>> events);

private:
    std::size_t m_missingAnswers;
    std::function<void(PeerMessage::TimelineAnswer)> m_reply;
    PeerMessage::TimelineAnswer m_answer;
};

} // namespace lentilsaddle::coordination
