#include "coordination/timeline/TimelineTask.h"

#include <utility>

namespace lentilsaddle::coordination {

TimelineTask::TimelineTask(state::InstanceId instance, std::size_t capacity)
    : m_instance(std::move(instance))
    , m_capacity(capacity)
{
}

TimelineTask::~TimelineTask()
{
    stop();
}

void TimelineTask::onMessage(TimelineMessage message)
{
    std::visit([this](auto& body) { handle(std::move(body)); }, message.body);
}

void TimelineTask::handle(TimelineMessage::Add message)
{
    m_events.push_back({
        .time = message.time,
        .instance = m_instance,
        .sequence = ++m_sequence,
        .subject = std::move(message.subject),
        .kind = std::move(message.kind),
        .detail = std::move(message.detail),
    });
    if (m_events.size() > m_capacity)
        m_events.pop_front();
}

void TimelineTask::handle(const TimelineMessage::Read& message)
{
    std::vector<state::TimelineEvent> selected;
    for (const state::TimelineEvent& event : m_events) {
        if (message.subject.empty() || event.subject == message.subject)
            selected.push_back(event);
    }
    message.reply(std::move(selected));
}

} // namespace lentilsaddle::coordination
