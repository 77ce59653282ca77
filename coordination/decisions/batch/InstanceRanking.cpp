#include "coordination/decisions/batch/InstanceRanking.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination::batch {

InstanceRanking::InstanceRanking(state::InstanceId self, int processors)
    : m_self(std::move(self))
    , m_processors(processors)
{
}

bool InstanceRanking::announcementDue() const
{
    if (m_processors == 0)
        return false;
    auto own = m_announced.find(m_self);
    return own == m_announced.end() || own->second != m_processors;
}

bool InstanceRanking::outranked() const
{
    if (m_processors == 0)
        return false;
    if (announcementDue())
        return true;
    return std::any_of(
        m_announced.begin(), m_announced.end(), [this](const auto& entry) { return entry.second > m_processors; });
}

bool InstanceRanking::outranks(const state::InstanceId& other) const
{
    auto announced = m_announced.find(other);
    return announced != m_announced.end() && announced->second < m_processors;
}

} // namespace lentilsaddle::coordination::batch
