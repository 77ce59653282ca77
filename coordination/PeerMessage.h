/// @file
/// Mailbox message of PeerTask.
#pragma once

#include "state/Configuration.h"
#include "state/Event.h"
#include "state/Identifier.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::coordination {

struct PeerMessage {
    /// Own state, told to peers in the next exchange.
    struct ConfigurationVersion {
        state::ConfigurationVersion version = 0;
    };
    struct SchedulerRole {
        std::uint64_t epoch = 0;
        state::InstanceId scheduler;
    };
    struct LogReachability {
        bool reachable = false;
    };
    struct Draining { };

    /// Merged events of all reachable instances.
    struct TimelineAnswer {
        std::vector<state::Event> events;
        /// Instances that did not answer in time.
        std::vector<state::InstanceId> missing;
    };
    struct ReadTimeline {
        /// Empty reads all subjects.
        std::string subject;
        std::function<void(TimelineAnswer)> reply;
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
    /// Work that a library thread hands to the task.
    struct Run {
        std::function<void()> work;
    };

    using Body
        = std::variant<Draining, ConfigurationVersion, SchedulerRole, LogReachability, ReadTimeline, QueryPeers, Run>;
    Body body;
};

} // namespace lentilsaddle::coordination
