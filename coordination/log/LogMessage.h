/// @file
/// Mailbox message of LogTask.
#pragma once

#include "protocol/LogClient.h"
#include "state/StreamBatch.h"
#include "state/Time.h"

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::coordination {

struct LogMessage {
    enum class AppendStatus {
        /// The log service confirmed the append.
        Appended,
        /// The record was never sent, so it is not in the stream.
        NotAppended,
        /// The append may have taken or may still take effect; only replay of the stream shows which.
        Unresolved,
    };

    struct AppendResult {
        AppendStatus status = AppendStatus::NotAppended;
        /// Origin assigned to the record.
        state::Origin origin;
    };

    /// Appends a record. The log task assigns the origin and retries until the deadline.
    struct Append {
        std::string stream;
        state::Record::Body body;
        state::MonotonicTime deadline;
        /// Called on the log task's thread; the hook posts to the sender's mailbox. May be empty.
        std::function<void(AppendResult)> onResult;
    };

    /// Delivers the records of a stream from the oldest retained one, then new ones as they are appended.
    struct Subscribe {
        std::string stream;
        /// Called on the log task's thread; the hook posts to the subscriber's mailbox.
        std::function<void(state::StreamBatch)> onBatch;
    };

    /// Notifies the caller when the log service becomes reachable or unreachable.
    struct WatchReachability {
        /// Considers only the direct connection to the service, not a relay through a peer.
        bool directOnly = false;
        std::function<void(bool reachable)> onChange;
    };

    /// Relays encoded records for a peer that cannot reach the log service.
    struct RelayAppend {
        std::string stream;
        std::vector<std::string> records;
        std::function<void(bool appended, state::LogOffset firstOffset)> onResult;
    };

    /// Reads encoded records for a peer that cannot reach the log service.
    struct RelayRead {
        std::string stream;
        state::LogOffset offset = 0;
        /// Long-poll timeout: how long the service may wait for a record before it responds.
        std::chrono::milliseconds wait { 0 };
        std::function<void(protocol::LogClient::ReadResult)> onResult;
    };

    /// Runs a callback on the log task's thread.
    struct Invoke {
        std::function<void()> callback;
    };

    using Body = std::variant<Append, Subscribe, WatchReachability, RelayAppend, RelayRead, Invoke>;
    Body body;
};

} // namespace lentilsaddle::coordination
