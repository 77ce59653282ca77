/// @file
/// Mailbox message of ConfigurationTask.
#pragma once

#include "coordination/log/LogMessage.h"
#include "state/Configuration.h"
#include "state/Record.h"
#include "state/StreamBatch.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace lentilsaddle::coordination {

struct ConfigurationMessage {
    /// Result of a submitted patch.
    struct PatchResponse {
        enum class Status {
            /// The outcome is known from replay.
            Decided,
            /// The patch is not in the log and will not come into force.
            NotAppended,
            /// The patch may be in the log; query the outcome by its identifier.
            Unknown,
        };
        Status status = Status::Unknown;
        state::Record::PatchOutcome outcome;
    };

    /// State of the configuration for the API.
    struct View {
        /// Whether the instance may serve with this configuration.
        bool ready = false;
        /// Why the instance is not ready; empty if it is.
        std::string reason;
        std::shared_ptr<const state::Configuration> configuration;
    };

    struct SubmitPatch {
        state::Record::ConfigurationPatch patch;
        std::function<void(PatchResponse)> reply;
    };
    struct QueryPatch {
        state::PatchId id;
        std::function<void(std::optional<state::Record::PatchOutcome>)> reply;
    };
    struct Query {
        std::function<void(View)> reply;
    };
    /// Calls onChange immediately and after each change.
    struct Watch {
        std::function<void(View)> onChange;
    };
    struct LogBatch {
        state::StreamBatch batch;
    };
    /// A peer's configuration, used when the log cannot be read.
    struct PeerSnapshot {
        state::Record::ConfigurationSnapshot snapshot;
    };
    struct LogReachability {
        bool reachable = false;
    };
    struct SnapshotForPeer {
        std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> reply;
    };

    /// Result of an append, posted by the task to itself.
    struct PatchAppended {
        state::PatchId id;
        LogMessage::AppendStatus status = LogMessage::AppendStatus::Unresolved;
    };

    using Body = std::variant<SubmitPatch, QueryPatch, Query, Watch, LogBatch, PeerSnapshot, LogReachability,
        SnapshotForPeer, PatchAppended>;
    Body body;
};

} // namespace lentilsaddle::coordination
