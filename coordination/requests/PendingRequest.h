/// @file
/// Service request in hand.
#pragma once

#include "coordination/requests/RequestMessage.h"
#include "state/KeyDigest.h"
#include "state/Origin.h"
#include "state/Time.h"
#include "transport/EventLoop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

struct PendingRequest {
    enum class Phase {
        /// Waits for its claim to appear in the stream.
        Claiming,
        /// Waits for the answer to another request with the same idempotency key.
        Following,
        /// Waits for a backend server.
        Queued,
        HandedOver,
    };

    /// Number of the request in this process.
    std::uint64_t ticket = 0;
    RequestMessage::ServiceRequest request;
    std::function<void(RequestMessage::ServiceResponse)> reply;
    state::MonotonicTime deadline;
    Phase phase = Phase::Queued;
    transport::EventLoop::TimerId deadlineTimer = 0;
    /// The caller has its answer; only the outcome of the claim is still awaited.
    bool answered = false;

    /// Counts hand-overs, from 1.
    int attempt = 0;
    /// An attempt was sent and is not known to have been refused before start.
    bool mayHaveRun = false;
    /// Runner of the last attempt.
    state::InstanceId runner;

    state::KeyDigest key;
    bool claimInFlight = false;
    /// Origin of the appended claim, once known.
    std::optional<state::Origin> claim;
    /// Sequence of the claim that this request uses.
    std::optional<std::uint64_t> takenClaim;
    /// Tickets of the requests that follow this one.
    std::vector<std::uint64_t> followers;
};

} // namespace lentilsaddle::coordination
