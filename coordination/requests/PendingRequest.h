/// @file
/// Service request that has not ended.
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

/// State of one service request from its submission until its outcome is known.
struct PendingRequest {
    enum class Phase {
        /// Waits until its claim is read back from the stream.
        Claiming,
        /// Waits for the response of the primary request with the same idempotency key.
        Coalesced,
        /// Waits in the admission queue for a backend server.
        Queued,
        /// Sent to a backend server, whose response is awaited.
        Dispatched,
    };

    /// Number of the request, unique in this process.
    std::uint64_t ticket = 0;
    RequestMessage::ServiceRequest request;
    std::function<void(RequestMessage::ServiceResponse)> reply;
    state::MonotonicTime deadline;
    Phase phase = Phase::Queued;
    transport::EventLoop::TimerId deadlineTimer = 0;
    /// The response was sent to the caller; only the outcome of the claim is still awaited.
    bool responded = false;

    /// Number of the last attempt, from 1; 0 before the first one.
    int attempt = 0;
    /// An attempt was sent that is not proved to have been refused before start.
    bool mayHaveRun = false;
    /// Backend server of the last attempt.
    state::InstanceId backendServer;

    state::KeyDigest key;
    bool claimInFlight = false;
    /// Origin of the appended claim, once its append has succeeded or its result is unknown.
    std::optional<state::Origin> claim;
    /// Sequence number of the claim that this request uses.
    std::optional<std::uint64_t> usedClaimSequence;
    /// Tickets of the requests that wait for the response of this one.
    std::vector<std::uint64_t> coalescedTickets;
};

} // namespace lentilsaddle::coordination
