/// @file
/// At-most-once handling of the non-repeatable requests of one service.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/requests/PendingRequest.h"
#include "coordination/requests/RequestClaims.h"
#include "coordination/requests/RequestMessage.h"
#include "coordination/requests/RequestTaskOptions.h"
#include "coordination/requests/RequestTelemetry.h"
#include "coordination/requests/ResponseCache.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace lentilsaddle::coordination {

/// Admits one request (the primary) for each idempotency key to dispatch, once its claim holds the key. Further
/// requests with the key are coalesced: they get the response of the primary, or one from the ledger.
///
/// Not thread-safe; used only on the thread of the owning task.
class NonRepeatableRequests {
public:
    struct Hooks {
        /// @return the request, or null if it has ended.
        std::function<PendingRequest*(std::uint64_t ticket)> find;
        /// @return the reason why a request could not be dispatched even with a claim; empty if it could.
        std::function<std::string_view(const PendingRequest&)> refusalReason;
        /// Called when the request holds the claim of its key and may be dispatched.
        std::function<void(PendingRequest&)> admit;
        /// Ends the request with the outcome not run.
        std::function<void(PendingRequest&, std::string_view reason)> refuse;
        /// Ends the request with a response.
        std::function<void(PendingRequest&, const RequestMessage::ServiceResponse&)> finish;
    };

    /// @param environment must outlive the object.
    /// @param options must outlive the object.
    NonRepeatableRequests(state::ServiceId service, const TaskEnvironment& environment,
        const RequestTaskOptions& options, RequestClaims::Hooks claimHooks, Hooks hooks);
    NonRepeatableRequests(const NonRepeatableRequests&) = delete;
    NonRepeatableRequests& operator=(const NonRepeatableRequests&) = delete;

    /// Starts to claim the key of a request. Ends the request at once if it is refused or the ledger has its result.
    void begin(PendingRequest& pending);

    /// Ends a request whose deadline passed before its claim was read back from the stream.
    void expire(PendingRequest& pending);

    /// Records the outcome of a request that has ended and ends the requests coalesced with it. The request must
    /// already be removed from the pending requests.
    void onRequestEnded(const PendingRequest& pending, const RequestMessage::ServiceResponse& response);

    void applyBatch(const state::StreamBatch& batch);
    void onClaimAppendResult(const RequestMessage::ClaimAppendResult& message);
    void onOutcomeAppendResult(const RequestMessage::OutcomeAppendResult& message)
    {
        m_claims.onOutcomeAppendResult(message);
    }
    void setLogReachable(bool reachable) { m_claims.setLogReachable(reachable); }
    void appendSnapshot() { m_claims.appendSnapshot(); }

    /// @return whether every outcome is recorded in the log; true as well while the log is unreachable.
    bool allOutcomesRecorded() const { return !m_claims.logReachable() || !m_claims.hasUnrecordedOutcomes(); }

private:
    /// @return whether the request was refused.
    bool refuseBeforeClaim(PendingRequest& pending);
    /// Continues a request in phase Claiming according to the state of its key.
    void advance(PendingRequest& pending);
    /// Appends a claim unless one of this request may still win.
    void claimKey(PendingRequest& pending);
    void respondFromLedger(PendingRequest& pending, RequestClaims::KeyState keyState);
    /// Continues the requests that waited for the first replay of the stream.
    void resumeAfterReplay();
    /// Releases the claim that holds a key if no request uses it.
    void releaseUnusedClaim(const state::KeyDigest& key);
    void finishCoalesced(
        const std::vector<std::uint64_t>& coalescedTickets, const RequestMessage::ServiceResponse& response);

    const TaskEnvironment& m_environment;
    Hooks m_hooks;
    RequestTelemetry m_telemetry;
    RequestClaims m_claims;
    ResponseCache m_responses;
    /// Ticket of the primary request of each key: the one that claims the key or uses its claim.
    std::map<state::KeyDigest, std::uint64_t> m_primaryTickets;
};

} // namespace lentilsaddle::coordination
