#include "coordination/timeline/TimelineCollection.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination {

TimelineCollection::TimelineCollection(std::size_t expected, std::function<void(PeerMessage::TimelineAnswer)> reply)
    : m_missingAnswers(expected)
    , m_reply(std::move(reply))
{
}

void TimelineCollection::add(const state::InstanceId& instance, std::optional<std::vector<state::TimelineEvent>> events)
{
    if (events)
        m_answer.events.insert(
            m_answer.events.end(), std::move_iterator(events->begin()), std::move_iterator(events->end()));
    else
        m_answer.missing.push_back(instance);
    if (--m_missingAnswers > 0)
        return;
    std::sort(m_answer.events.begin(), m_answer.events.end(),
        [](const state::TimelineEvent& a, const state::TimelineEvent& b) {
            return std::tie(a.time, a.instance, a.sequence) < std::tie(b.time, b.instance, b.sequence);
        });
    m_reply(std::move(m_answer));
}

} // namespace lentilsaddle::coordination
