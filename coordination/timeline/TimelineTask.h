/// @file
/// Task that keeps the recent events of this instance.
#pragma once

#include "coordination/timeline/TimelineMessage.h"
#include "state/Identifier.h"
#include "transport/Task.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace lentilsaddle::coordination {

/// Bounded ring of events. The oldest events are dropped first.
class TimelineTask : public transport::Task<TimelineMessage> {
public:
    /// @param instance name written into each event.
    /// @param capacity maximum number of events kept.
    TimelineTask(state::InstanceId instance, std::size_t capacity);
    ~TimelineTask() override;

protected:
    void onMessage(TimelineMessage message) override;

private:
    void handle(TimelineMessage::Add message);
    void handle(const TimelineMessage::Read& message);

    state::InstanceId m_instance;
    std::size_t m_capacity;
    std::uint64_t m_sequence = 0;
    std::deque<state::TimelineEvent> m_events;
};

} // namespace lentilsaddle::coordination
