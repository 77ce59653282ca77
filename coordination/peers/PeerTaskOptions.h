/// @file
/// Options of PeerTask.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lentilsaddle::coordination {

struct PeerTaskOptions {
    /// IPv4 address to listen on for peers.
    std::string address = "127.0.0.1";
    /// 0 picks a free port.
    std::uint16_t port = 0;
    /// Base URL of the platform, without a trailing slash.
    std::string platformUrl;
    /// The list is the largest part of an instance's control traffic, about 120 bytes for each entry.
    std::chrono::milliseconds instanceListInterval { 2'000 };
    std::chrono::milliseconds instanceListTimeout { 2'000 };
    /// Time between two heartbeats to the scheduler.
    std::chrono::milliseconds heartbeatInterval { 1'000 };
    /// Time between two exchanges with all peers.
    std::chrono::milliseconds exchangeInterval { 5'000 };
    std::chrono::milliseconds exchangeTimeout { 1'000 };
    /// Time without a response to a heartbeat after which the scheduler is suspected.
    std::chrono::milliseconds suspicionTimeout { 2'500 };
    std::chrono::milliseconds timelineTimeout { 1'000 };
    /// Time to wait for the log to deliver a version that a peer already has.
    std::chrono::milliseconds configurationGrace { 1'000 };
    /// Timeout of a log call relayed through a peer, in addition to the long-poll time.
    std::chrono::milliseconds relayTimeout { 3'000 };
};

} // namespace lentilsaddle::coordination
