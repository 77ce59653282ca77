/// @file
/// Task that replays the configuration stream.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/configuration/ConfigurationMessage.h"
#include "coordination/configuration/ConfigurationTaskOptions.h"
#include "coordination/decisions/SnapshotPolicy.h"
#include "coordination/log/LogMessage.h"
#include "state/ConfigurationHistory.h"
#include "state/StreamReplay.h"
#include "transport/Task.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Decides patches in log order and publishes the configuration in force.
///
/// The configuration in force is the newer one of the replayed configuration and the one received from a peer. A peer's
/// configuration never enters the replayed history, because a patch must be decided from the stream alone.
class ConfigurationTask : public transport::Task<ConfigurationMessage> {
public:
    /// @param postLog posts a message to the log task.
    ConfigurationTask(
        TaskEnvironment environment, ConfigurationTaskOptions options, std::function<void(LogMessage)> postLog);
    ~ConfigurationTask() override;

protected:
    void onStart() override;
    void onMessage(ConfigurationMessage message) override;

private:
    using PatchResponse = ConfigurationMessage::PatchResponse;

    /// Submissions of one patch that wait for replay.
    struct PendingPatch {
        std::vector<std::function<void(PatchResponse)>> replies;
        transport::EventLoop::TimerId timer = 0;
    };

    /// Configuration received from a peer.
    struct PeerConfiguration {
        std::shared_ptr<const state::Configuration> configuration;
        state::Record::ConfigurationSnapshot snapshot;
    };

    void handle(ConfigurationMessage::SubmitPatch message);
    void handle(const ConfigurationMessage::QueryPatch& message);
    void handle(const ConfigurationMessage::Query& message);
    void handle(ConfigurationMessage::Watch message);
    void handle(const ConfigurationMessage::LogBatch& message);
    void handle(ConfigurationMessage::PeerSnapshot message);
    void handle(const ConfigurationMessage::LogReachability& message);
    void handle(const ConfigurationMessage::SnapshotForPeer& message);
    void handle(const ConfigurationMessage::PatchAppended& message);

    void appendPatch(const state::Record::ConfigurationPatch& patch);
    void applyRecord(const state::Record& record);
    void loadSnapshot(const state::Record& record);
    /// @return the outcome from replay or from a peer's snapshot, or nothing if neither has it.
    std::optional<state::Record::PatchOutcome> outcome(const state::PatchId& id) const;
    void respond(const state::PatchId& id, const PatchResponse& response);
    PatchResponse refusal(const state::PatchId& id, const std::string& reason) const;
    state::Record::ConfigurationSnapshot makeSnapshot() const;

    /// Starts the random delay before a snapshot if one is due.
    void scheduleSnapshotIfDue();
    void appendSnapshot();
    void scheduleSnapshotAgeCheck();

    std::string notReadyReason() const;
    ConfigurationMessage::View view() const;
    void publish();

    TaskEnvironment m_environment;
    ConfigurationTaskOptions m_options;
    std::function<void(LogMessage)> m_postLog;
    state::ConfigurationHistory m_history;
    state::StreamReplay m_replay;
    /// Copy of the replayed configuration that is shared with the watchers.
    std::shared_ptr<const state::Configuration> m_replayedConfiguration;
    std::optional<PeerConfiguration> m_peerConfiguration;
    /// Replay has reached the end of the stream at least once.
    bool m_caughtUpOnce = false;
    std::optional<bool> m_logReachable;
    std::map<state::PatchId, PendingPatch> m_pendingPatches;
    /// Appends of patches that may still take effect; a repeated submission of a patch adds another one.
    std::multiset<state::PatchId> m_unresolved;
    SnapshotPolicy m_snapshotPolicy;
    transport::EventLoop::TimerId m_snapshotTimer = 0;
    std::vector<std::function<void(ConfigurationMessage::View)>> m_watchers;
    ConfigurationMessage::View m_publishedView;
};

} // namespace lentilsaddle::coordination
