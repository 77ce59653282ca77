/// @file
/// Hooks of PeerTask.
#pragma once

#include "protocol/LogClient.h"
#include "state/InstanceInfo.h"
#include "state/Record.h"
#include "state/TimelineEvent.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Connections to the other tasks. All hooks are called on the peer task's thread and only post; replies may come from
/// any thread.
struct PeerTaskHooks {
    /// The instance list changed.
    std::function<void(std::vector<state::InstanceInfo>)> onInstances;
    /// The set of live entry instances of the own data centre, this one included, or the suspicion of the scheduler
    /// changed.
    std::function<void(std::vector<state::InstanceInfo> members, bool schedulerSuspected)> onMembers;
    /// Reads this instance's events; an empty subject reads all.
    std::function<void(std::string subject, std::function<void(std::vector<state::TimelineEvent>)> reply)> readTimeline;
    /// Reads the configuration in force, or nothing if there is none to serve.
    std::function<void(std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> reply)> snapshotForPeer;
    /// A configuration was read from a peer.
    std::function<void(state::Record::ConfigurationSnapshot)> onPeerSnapshot;
    /// Reads the log for a peer, by LogMessage::RelayRead.
    std::function<void(std::string stream, state::LogOffset offset, std::chrono::milliseconds wait,
        std::function<void(protocol::LogClient::ReadResult)> reply)>
        relayRead;
    /// Appends to the log for a peer, by LogMessage::RelayAppend.
    std::function<void(std::string stream, std::vector<std::string> records,
        std::function<void(bool appended, state::LogOffset firstOffset)> reply)>
        relayAppend;
    /// The peer port is open. May be empty.
    std::function<void(std::uint16_t port)> onListening;
};

} // namespace lentilsaddle::coordination
