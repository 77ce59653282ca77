/// @file
/// Non-repeatable requests of one service up to their hand-over.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/requests/AnswerCache.h"
#include "coordination/requests/PendingRequest.h"
#include "coordination/requests/RequestClaims.h"
#include "coordination/requests/RequestMessage.h"
#include "coordination/requests/RequestReport.h"
#include "coordination/requests/RequestTaskOptions.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace lentilsaddle::coordination {

/// Lets one request for each idempotency key through, once its claim holds the key, and answers the others from the
/// ledger or with the answer of the first.
///
/// Belongs to the thread of its task.
class NonRepeatableRequests {
public:
    struct Hooks {
        /// @return the request, or null if it has ended.
        std::function<PendingRequest*(std::uint64_t ticket)> find;
        /// @return why a request could not be served even with a claim; empty if it could.
        std::function<std::string_view(const PendingRequest&)> refusal;
        /// The request may be handed over.
        std::function<void(PendingRequest&)> admit;
        /// Ends the request as not run.
        std::function<void(PendingRequest&, std::string_view reason)> refuse;
        std::function<void(PendingRequest&, const RequestMessage::ServiceResponse&)> finish;
    };

    /// @param environment outlives the object.
    /// @param options outlive the object.
    NonRepeatableRequests(state::ServiceId service, const TaskEnvironment& environment,
        const RequestTaskOptions& options, RequestClaims::Hooks claimHooks, Hooks hooks);
    NonRepeatableRequests(const NonRepeatableRequests&) = delete;
    NonRepeatableRequests& operator=(const NonRepeatableRequests&) = delete;

    /// Starts the claim of a request, or answers it.
    void begin(PendingRequest& pending);

    /// Ends a request whose deadline passed before its claim was read.
    void expire(PendingRequest& pending);

    /// Records the outcome of a request that has ended and that no other part refers to any more.
    void ended(const PendingRequest& pending, const RequestMessage::ServiceResponse& answer);

    void acceptLog(const state::StreamBatch& batch);
    void claimAppended(const RequestMessage::ClaimAppended& message);
    void outcomeAppended(const RequestMessage::OutcomeAppended& message) { m_claims.outcomeAppended(message); }
    void setLogReachable(bool reachable) { m_claims.setLogReachable(reachable); }
    void appendSnapshot() { m_claims.appendSnapshot(); }

    /// @return whether every outcome is recorded, as far as the log can be reached.
    bool recorded() const { return !m_claims.logReachable() || !m_claims.hasUnrecordedOutcomes(); }

private:
    bool refusedBeforeClaim(PendingRequest& pending);
    void advance(PendingRequest& pending);
    void advanceFreeKey(PendingRequest& pending);
    void answerFromLedger(PendingRequest& pending, RequestClaims::Standing standing);
    /// Continues the requests that waited until the stream was read.
    void resumeAll();
    void releaseIfAbandoned(const state::KeyDigest& key);
    void finishFollowers(const std::vector<std::uint64_t>& followers, const RequestMessage::ServiceResponse& answer);

    const TaskEnvironment& m_environment;
    Hooks m_hooks;
    RequestReport m_report;
    RequestClaims m_claims;
    AnswerCache m_answers;
    /// Ticket of the request that claims or uses each key.
    std::map<state::KeyDigest, std::uint64_t> m_leaders;
};

} // namespace lentilsaddle::coordination
