/// @file
/// Instance and worker lists of the stand-in platform.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace lentilsaddle::standin {

/// Lists that a test sets. A change of the instance list becomes visible after the lag given with it; changes of the
/// worker lists are visible at once.
class PlatformLists {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// @param list body with `instances`.
    void setInstances(nlohmann::json list, Time visibleFrom);
    void setWorkers(const std::string& dataCentre, nlohmann::json list);

    nlohmann::json instances(Time now);
    nlohmann::json workers(const std::string& dataCentre) const;

private:
    struct Change {
        Time visibleFrom;
        nlohmann::json list;
    };

    nlohmann::json m_instances = { { "instances", nlohmann::json::array() } };
    std::deque<Change> m_changes;
    std::map<std::string, nlohmann::json> m_workers;
};

} // namespace lentilsaddle::standin
