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
    /// Shortest time between two appends to one stream; the next batch collects meanwhile.
    std::chrono::milliseconds appendInterval { 20 };
    /// Time that the service may hold back the answer to a read at the end of the stream.
    std::chrono::milliseconds longPollTimeout { 25'000 };
    /// Limit of a read beyond the long poll.
    std::chrono::milliseconds readTimeout { 2'000 };
    /// Time between questions whether the service is back while appends fail.
    std::chrono::milliseconds probeInterval { 1'000 };
    Backoff backoff;
    /// Limits of one append, so that a long queue after an outage does not exceed the service's body limit.
    std::size_t maximumAppendRecords = 256;
    std::size_t maximumAppendBytes = 524'288;
    std::size_t maximumReadRecords = 1'000;
    /// Longest long poll through a peer, so that the own connection is used again soon after it works.
    std::chrono::milliseconds relayLongPollTimeout { 5'000 };
    /// Reads through a peer while the own connection fails, by PeerMessage::RelayRead. Empty if there is no relay.
    std::function<void(std::string stream, state::LogOffset offset, std::chrono::milliseconds wait,
        std::function<void(protocol::LogClient::ReadResult)> reply)>
        relayRead;
    /// Appends through a peer while the own connection fails, by PeerMessage::RelayAppend. Empty if there is no relay.
    std::function<void(std::string stream, std::vector<std::string> records,
        std::function<void(protocol::LogClient::AppendResult)> reply)>
        relayAppend;
};

} // namespace lentilsaddle::coordination
