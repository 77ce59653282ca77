/// @file
/// Options of LogTask.
#pragma once

#include "coordination/decisions/Backoff.h"
#include "protocol/LogClient.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

struct LogTaskOptions {
    /// Base URL of the platform, without a trailing slash.
    std::string platformUrl;
    std::chrono::milliseconds appendTimeout { 2'000 };
    /// Minimum time between two appends to one stream; records queued meanwhile form the next batch.
    std::chrono::milliseconds appendInterval { 20 };
    /// How long the service may delay the response to a read at the end of the stream.
    std::chrono::milliseconds longPollTimeout { 25'000 };
    /// Timeout of a read, in addition to its long-poll timeout.
    std::chrono::milliseconds readTimeout { 2'000 };
    /// Time between probes of the service while the direct connection fails.
    std::chrono::milliseconds probeInterval { 1'000 };
    Backoff backoff;
    /// Limits of one append request, so that a long queue after an outage does not exceed the service's body size
    /// limit.
    std::size_t maximumAppendRecords = 256;
    std::size_t maximumAppendBytes = 524'288;
    std::size_t maximumReadRecords = 1'000;
    /// Maximum long-poll timeout through a peer, so that the direct connection is used again soon after it recovers.
    std::chrono::milliseconds relayLongPollTimeout { 5'000 };
    /// Reads through a peer while the direct connection fails, by PeerMessage::RelayRead. Empty if there is no relay.
    std::function<void(std::string stream, state::LogOffset offset, std::chrono::milliseconds wait,
        std::function<void(protocol::LogClient::ReadResult)> reply)>
        relayRead;
    /// Appends through a peer while the direct connection fails, by PeerMessage::RelayAppend. Empty if there is no
    /// relay.
    std::function<void(std::string stream, std::vector<std::string> records,
        std::function<void(protocol::LogClient::AppendResult)> reply)>
        relayAppend;
};

} // namespace lentilsaddle::coordination
