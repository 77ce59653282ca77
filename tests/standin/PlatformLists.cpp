#include "tests/standin/PlatformLists.h"

namespace lentilsaddle::standin {

using nlohmann::json;

void PlatformLists::setInstances(json list, Time visibleFrom)
{
    m_changes.push_back({ .visibleFrom = visibleFrom, .list = std::move(list) });
}

void PlatformLists::setWorkers(const std::string& dataCentre, json list)
{
    m_workers[dataCentre] = std::move(list);
}

json PlatformLists::instances(Time now)
{
    while (!m_changes.empty() && m_changes.front().visibleFrom <= now) {
        m_instances = std::move(m_changes.front().list);
        m_changes.pop_front();
    }
    return m_instances;
}

json PlatformLists::workers(const std::string& dataCentre) const
{
    auto found = m_workers.find(dataCentre);
    if (found == m_workers.end())
        return { { "workers", json::array() } };
    return found->second;
}

} // namespace lentilsaddle::standin
