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
        /// The record may be or may come to be in the stream; only replay tells.
        Unresolved,
    };

    struct AppendResult {
        AppendStatus status = AppendStatus::NotAppended;
        /// Origin that the record was given.
        state::Origin origin;
    };

    /// Appends a record. The log task gives it its origin and retries until the deadline.
    struct Append {
        std::string stream;
        state::Record::Body body;
        state::MonotonicTime deadline;
        /// Called on the log task's thread; the hook posts to the sender's mailbox. May be empty.
        std::function<void(AppendResult)> onResult;
    };

    /// Delivers all records of a stream from the oldest one kept, then follows it.
    struct Subscribe {
        std::string stream;
        /// Called on the log task's thread; the hook posts to the subscriber's mailbox.
        std::function<void(state::StreamBatch)> onBatch;
    };

    /// Tells the subscriber when the log service becomes reachable or unreachable.
    struct WatchReachability {
        /// Counts only the own connection to the service, not a relay through a peer.
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
        /// Time that the answer may be held back until there is a record.
        std::chrono::milliseconds wait { 0 };
        std::function<void(protocol::LogClient::ReadResult)> onResult;
    };

    /// Work that another thread hands to the task.
    struct Invoke {
        std::function<void()> callback;
    };

    using Body = std::variant<Append, Subscribe, WatchReachability, RelayAppend, RelayRead, Invoke>;
    Body body;
};

} // namespace lentilsaddle::coordination
