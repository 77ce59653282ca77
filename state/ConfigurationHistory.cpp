#include "state/ConfigurationHistory.h"

#include "state/StateError.h"

#include <utility>

namespace lentilsaddle::state {

namespace {

    // Covers four days at 2,300 changes a day.
    constexpr std::size_t maximumOutcomes = 10'000;

} // namespace

ConfigurationHistory::ConfigurationHistory(ApplyPatch applyPatch)
    : m_applyPatch(std::move(applyPatch))
{
}

Record::PatchOutcome ConfigurationHistory::apply(const Record::ConfigurationPatch& patch)
{
    if (auto known = outcome(patch.id))
        return *known;
    Record::PatchOutcome decided = decide(patch);
    storeOutcome(decided);
    return decided;
}

Record::PatchOutcome ConfigurationHistory::decide(const Record::ConfigurationPatch& patch)
{
    Record::PatchOutcome result { .id = patch.id, .accepted = false, .version = m_current.version, .reason = "" };
    if (patch.base != m_current.version) {
        result.reason = "base_version: names version " + std::to_string(patch.base) + ", but the current version is "
            + std::to_string(m_current.version);
        return result;
    }
    try {
        Configuration next = m_applyPatch(m_current, patch.mergePatch);
        next.version = m_current.version + 1;
        validate(next);
        m_current = std::move(next);
    } catch (const StateError& error) {
        result.reason = error.what();
        return result;
    }
    result.accepted = true;
    result.version = m_current.version;
    return result;
}

void ConfigurationHistory::storeOutcome(const Record::PatchOutcome& outcome)
{
    if (!m_outcomes.emplace(outcome.id, outcome).second)
        return;
    m_outcomeOrder.push_back(outcome.id);
    if (m_outcomeOrder.size() <= maximumOutcomes)
        return;
    m_outcomes.erase(m_outcomeOrder.front());
    m_outcomeOrder.pop_front();
}

void ConfigurationHistory::restore(Configuration configuration, const std::vector<Record::PatchOutcome>& outcomes)
{
    for (const Record::PatchOutcome& outcome : outcomes)
        storeOutcome(outcome);
    if (configuration.version > m_current.version)
        m_current = std::move(configuration);
}

std::optional<Record::PatchOutcome> ConfigurationHistory::outcome(const PatchId& id) const
{
    auto found = m_outcomes.find(id);
    if (found == m_outcomes.end())
        return std::nullopt;
    return found->second;
}

std::vector<Record::PatchOutcome> ConfigurationHistory::outcomes() const
{
    std::vector<Record::PatchOutcome> result;
    for (const PatchId& id : m_outcomeOrder)
        result.push_back(m_outcomes.at(id));
    return result;
}

} // namespace lentilsaddle::state
