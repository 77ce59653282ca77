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

struct RequestMessage {
    /// Request of a caller to a service.
    struct ServiceRequest {
        state::RequestId id;
        state::ServiceId service;
        state::AccountId account;
        /// Empty if the caller gave none.
        std::string idempotencyKey;
        bool nonRepeatable = false;
        /// Time that the caller still waits, counted from when the request was read.
        std::chrono::milliseconds timeout { 30'000 };
        std::string contentType;
        std::string body;
    };

    /// Answer to its caller.
    struct ServiceResponse {
        state::RequestOutcome outcome = state::RequestOutcome::Unknown;
        int status = 200;
        std::string contentType;
        std::string body;
        /// Machine-readable reason if the outcome is not Done, such as `queue_full`.
        std::string reason;
        /// Hint for a refused caller; 0 if there is none.
        std::chrono::seconds retryAfter { 0 };
    };

    struct Submit {
        ServiceRequest request;
        std::function<void(ServiceResponse)> reply;
    };
    struct Configure {
        std::shared_ptr<const state::Configuration> configuration;
        bool ready = false;
    };
    /// The instance list changed; it lags and is a hint only.
    struct Instances {
        std::vector<state::InstanceInfo> instances;
    };
    struct LogBatch {
        state::ServiceId service;
        state::StreamBatch batch;
    };
    struct LogReachability {
        bool reachable = false;
    };
    /// Refuses new requests and calls back when the last one in hand is answered.
    struct Drain {
        std::function<void()> onDrained;
    };

    /// Result of an append, posted by the task to itself.
    struct ClaimAppended {
        state::RequestId request;
        bool certainlyNotAppended = false;
        state::ServiceId service;
        /// The task's own number of the request, since callers may repeat identifiers.
        std::uint64_t ticket = 0;
        /// Origin that the claim was given.
        state::Origin origin;
    };
    /// Result of an append, posted by the task to itself.
    struct OutcomeAppended {
        state::ServiceId service;
        state::KeyDigest key;
        std::uint64_t claimSequence = 0;
        bool appended = false;
    };

    // Submit is not first: the default constructor of a variant needs that of its first alternative, which is not yet
    // known for a nested struct with default member initializers.
    using Body
        = std::variant<Instances, Submit, Configure, LogBatch, LogReachability, Drain, ClaimAppended, OutcomeAppended>;
    Body body;
};

} // namespace lentilsaddle::coordination
