/// @file
/// Replay of configuration patches in log order.
#pragma once

#include "state/Configuration.h"
#include "state/Record.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::state {

/// Current configuration and the outcomes of recent patches.
///
/// Replay is deterministic: every reader of the stream accepts the same patches, so that concurrent patches of several
/// operators have the same outcome at every instance.
class ConfigurationHistory {
public:
    /// Applies a merge patch to a configuration. Supplied by the protocol layer, which knows the encoding.
    /// @throws StateError if the result is no valid configuration.
    using ApplyPatch = std::function<Configuration(const Configuration& base, const std::string& mergePatch)>;

    explicit ConfigurationHistory(ApplyPatch applyPatch);

    /// Applies one patch record. A patch that was already decided keeps its outcome.
    /// @return the outcome.
    Record::PatchOutcome apply(const Record::ConfigurationPatch& patch);

    /// Replaces the state by a newer version. An older one is ignored, so that the version in force never decreases.
    void restore(Configuration configuration, const std::vector<Record::PatchOutcome>& outcomes);

    const Configuration& current() const { return m_current; }
    std::optional<Record::PatchOutcome> outcome(const PatchId& id) const;
    std::vector<Record::PatchOutcome> outcomes() const;

private:
    Record::PatchOutcome decide(const Record::ConfigurationPatch& patch);
    void storeOutcome(const Record::PatchOutcome& outcome);

    ApplyPatch m_applyPatch;
    Configuration m_current;
    std::map<PatchId, Record::PatchOutcome> m_outcomes;
    std::deque<PatchId> m_outcomeOrder;
};

} // namespace lentilsaddle::state
