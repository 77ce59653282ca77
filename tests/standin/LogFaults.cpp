#include "tests/standin/LogFaults.h"

#include "tests/standin/JsonHttp.h"

#include <algorithm>
#include <stdexcept>

namespace lentilsaddle::standin {

using nlohmann::json;

namespace {

    LogFaults::Outage outageOr(const json& control, const std::string& name, LogFaults::Outage fallback)
    {
        if (!control.contains(name))
            return fallback;
        const json& value = control[name];
        if (value == "none")
            return LogFaults::Outage::None;
        if (value == "refuse")
            return LogFaults::Outage::Refuse;
        if (value == "drop")
            return LogFaults::Outage::Drop;
        throw std::invalid_argument(name + ": must be none, refuse or drop");
    }

} // namespace

void LogFaults::change(const json& control)
{
    Effect& effect = m_effects[{ control.value("stream", ""), control.value("listener", allListeners) }];
    effect.outage = outageOr(control, "outage", effect.outage);
    effect.listOutage = outageOr(control, "lists", effect.listOutage);
    effect.delay = millisecondsOr(control, "delay_ms", effect.delay);
    effect.lostAppendResponses = control.value("lose_append_answers", effect.lostAppendResponses);
    effect.blockReads = control.value("block_reads", effect.blockReads);
    effect.blockAppends = control.value("block_appends", effect.blockAppends);
}

bool LogFaults::covers(const Scope& scope, const std::string& stream, int listener)
{
    return (scope.first.empty() || scope.first == stream) && (scope.second == allListeners || scope.second == listener);
}

LogFaults::Effect LogFaults::effect(const std::string& stream, int listener) const
{
    Effect combined;
    for (const auto& [scope, effect] : m_effects) {
        if (!covers(scope, stream, listener))
            continue;
        combined.outage = std::max(combined.outage, effect.outage);
        combined.listOutage = std::max(combined.listOutage, effect.listOutage);
        combined.delay = std::max(combined.delay, effect.delay);
        combined.blockReads |= effect.blockReads;
        combined.blockAppends |= effect.blockAppends;
    }
    return combined;
}

bool LogFaults::consumeLostResponse(const std::string& stream, int listener)
{
    for (auto& [scope, effect] : m_effects) {
        if (covers(scope, stream, listener) && effect.lostAppendResponses > 0) {
            --effect.lostAppendResponses;
            return true;
        }
    }
    return false;
}

} // namespace lentilsaddle::standin
