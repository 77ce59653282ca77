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
    effect.lists = outageOr(control, "lists", effect.lists);
    effect.delay = millisecondsOr(control, "delay_ms", effect.delay);
    effect.loseAppendAnswers = control.value("lose_append_answers", effect.loseAppendAnswers);
    effect.blockReads = control.value("block_reads", effect.blockReads);
    effect.blockAppends = control.value("block_appends", effect.blockAppends);
}

bool LogFaults::covers(const Scope& scope, const std::string& stream, int listener)
{
    return (scope.first.empty() || scope.first == stream) && (scope.second == allListeners || scope.second == listener);
}

LogFaults::Effect LogFaults::effect(const std::string& stream, int listener) const
{
    Effect sum;
    for (const auto& [scope, effect] : m_effects) {
        if (!covers(scope, stream, listener))
            continue;
        sum.outage = std::max(sum.outage, effect.outage);
        sum.lists = std::max(sum.lists, effect.lists);
        sum.delay = std::max(sum.delay, effect.delay);
        sum.blockReads |= effect.blockReads;
        sum.blockAppends |= effect.blockAppends;
    }
    return sum;
}

bool LogFaults::loseAnswer(const std::string& stream, int listener)
{
    for (auto& [scope, effect] : m_effects) {
        if (covers(scope, stream, listener) && effect.loseAppendAnswers > 0) {
            --effect.loseAppendAnswers;
            return true;
        }
    }
    return false;
}

} // namespace lentilsaddle::standin
