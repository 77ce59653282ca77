/// @file
/// Mailbox message of PeerTask.
#pragma once

#include "protocol/LogClient.h"
#include "state/Configuration.h"
#include "state/Identifier.h"
#include "state/TimelineEvent.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::coordination {

struct PeerMessage {
    /// Version of the own configuration, sent to all peers. Posted after each change; while the configuration is not
    /// ready, the task reads one from a peer.
    struct ConfigurationVersion {
        state::ConfigurationVersion version = 0;
        bool ready = true;
    };
    struct SchedulerRole {
        std::uint64_t epoch = 0;
        state::InstanceId scheduler;
    };
    /// Whether this instance reaches the log service, so that peers may relay log calls through it.
    struct LogReachability {
        bool reachable = false;
    };
    struct Draining { };

    /// Merged events of all reachable instances.
    struct TimelineResponse {
        std::vector<state::TimelineEvent> events;
        /// Instances that did not respond in time.
        std::vector<state::InstanceId> missing;
    };
    struct ReadTimeline {
        /// Empty reads all subjects.
        std::string subject;
        std::function<void(TimelineResponse)> reply;
    };

    /// Peers as seen by this instance, for the status page.
    struct PeerView {
        state::InstanceId instance;
        state::DataCentreId dataCentre;
        bool reachable = false;
        state::ConfigurationVersion configurationVersion = 0;
    };
    struct QueryPeers {
        std::function<void(std::vector<PeerView>)> reply;
    };
    /// Runs a callback of a library thread on the task's thread.
    struct Invoke {
        std::function<void()> callback;
    };

    /// Reads the log through a peer that reaches it.
    struct RelayRead {
        std::string stream;
        state::LogOffset offset = 0;
        /// Long-poll time: how long the response may be delayed until there is a record.
        std::chrono::milliseconds wait { 0 };
        std::function<void(protocol::LogClient::ReadResult)> reply;
    };
    /// Appends encoded records through a peer that reaches the log. If the response is lost, the append is unresolved.
    struct RelayAppend {
        std::string stream;
        std::vector<std::string> records;
        std::function<void(protocol::LogClient::AppendResult)> reply;
    };

    using Body = std::variant<ConfigurationVersion, SchedulerRole, LogReachability, Draining, ReadTimeline, QueryPeers,
        Invoke, RelayRead, RelayAppend>;
    Body body;
};

} // namespace lentilsaddle::coordination
