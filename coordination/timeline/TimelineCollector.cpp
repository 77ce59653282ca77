#include "coordination/timeline/TimelineCollector.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination {

TimelineCollector::TimelineCollector(
    std::size_t expectedResponses, std::function<void(PeerMessage::TimelineResponse)> reply)
    : m_pendingResponses(expectedResponses)
    , m_reply(std::move(reply))
{
}

void TimelineCollector::add(const state::InstanceId& instance, std::optional<std::vector<state::TimelineEvent>> events)
{
    if (events)
        m_response.events.insert(
            m_response.events.end(), std::move_iterator(events->begin()), std::move_iterator(events->end()));
    else
        m_response.missing.push_back(instance);
    if (--m_pendingResponses > 0)
        return;
    std::sort(m_response.events.begin(), m_response.events.end(),
        [](const state::TimelineEvent& a, const state::TimelineEvent& b) {
            return std::tie(a.time, a.instance, a.sequence) < std::tie(b.time, b.instance, b.sequence);
        });
    m_reply(std::move(m_response));
}

} // namespace lentilsaddle::coordination
