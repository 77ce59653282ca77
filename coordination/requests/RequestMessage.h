/// @file
/// Mailbox message of RequestTask.
#pragma once

#include "state/Configuration.h"
#include "state/Identifier.h"
#include "state/InstanceInfo.h"
#include "state/KeyDigest.h"
#include "state/Origin.h"
#include "state/RequestOutcome.h"
#include "state/StreamBatch.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::coordination {

/// Message to RequestTask; `body` selects the operation.
struct RequestMessage {
    /// Request of a caller to a service.
    struct ServiceRequest {
        state::RequestId id;
        state::ServiceId service;
        state::AccountId account;
        /// Empty if the caller sent none.
        std::string idempotencyKey;
        bool nonRepeatable = false;
        /// Time until the caller's deadline, from when the request was received.
        std::chrono::milliseconds timeout { 30'000 };
        std::string contentType;
        std::string body;
    };

    /// Response to the caller.
    struct ServiceResponse {
        state::RequestOutcome outcome = state::RequestOutcome::Unknown;
        int status = 200;
        std::string contentType;
        std::string body;
        /// Machine-readable reason if the outcome is not Done, such as `queue_full`.
        std::string reason;
        /// Delay after which a refused caller may retry; 0 if there is no hint.
        std::chrono::seconds retryAfter { 0 };
    };

    /// Submits a request; `reply` is called once, on the thread of the task.
    struct Submit {
        ServiceRequest request;
        std::function<void(ServiceResponse)> reply;
    };
    /// Replaces the configuration.
    struct Configure {
        std::shared_ptr<const state::Configuration> configuration;
        bool ready = false;
    };
    /// The instance list changed. The list lags behind the actual state, so it is only a hint.
    struct Instances {
        std::vector<state::InstanceInfo> instances;
    };
    /// Records read from the stream of a service.
    struct LogBatch {
        state::ServiceId service;
        state::StreamBatch batch;
    };
    /// The log became reachable or unreachable.
    struct LogReachability {
        bool reachable = false;
    };
    /// Refuses new requests; `onDrained` is called when no request is in flight and every outcome is recorded.
    struct Drain {
        std::function<void()> onDrained;
    };

    /// Result of appending a claim, posted by the task to itself.
    struct ClaimAppendResult {
        state::RequestId request;
        /// The claim is proved not to be in the log; if false, it is or may be.
        bool certainlyNotAppended = false;
        state::ServiceId service;
        /// Number of the request in this process, since callers may repeat request identifiers.
        std::uint64_t ticket = 0;
        /// Origin that the log task assigned to the claim.
        state::Origin origin;
    };
    /// Result of appending an outcome, posted by the task to itself.
    struct OutcomeAppendResult {
        state::ServiceId service;
        state::KeyDigest key;
        std::uint64_t claimSequence = 0;
        /// If false, the record may still be in the log.
        bool appended = false;
    };

    // Submit must not be the first alternative: the default constructor of std::variant needs that of its first
    // alternative, which the compiler does not know yet for a nested struct with default member initializers.
    using Body = std::variant<Instances, Submit, Configure, LogBatch, LogReachability, Drain, ClaimAppendResult,
        OutcomeAppendResult>;
    Body body;
};

} // namespace lentilsaddle::coordination
