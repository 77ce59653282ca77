#include "coordination/requests/NonRepeatableRequests.h"

#include "coordination/requests/ServiceResponses.h"

#include <utility>

namespace lentilsaddle::coordination {

NonRepeatableRequests::NonRepeatableRequests(state::ServiceId service, const TaskEnvironment& environment,
    const RequestTaskOptions& options, RequestClaims::Hooks claimHooks, Hooks hooks)
    : m_environment(environment)
    , m_hooks(std::move(hooks))
    , m_telemetry(environment)
    , m_claims(std::move(service), environment, options, std::move(claimHooks))
    , m_responses(options.responseCacheBytes)
{
}

void NonRepeatableRequests::begin(PendingRequest& pending)
{
    const RequestMessage::ServiceRequest& request = pending.request;
    pending.key = state::KeyDigest::of(request.account.value(), request.service.value(), request.idempotencyKey);
    auto [primary, isPrimary] = m_primaryTickets.try_emplace(pending.key, pending.ticket);
    if (!isPrimary) {
        pending.phase = PendingRequest::Phase::Coalesced;
        m_hooks.find(primary->second)->coalescedTickets.push_back(pending.ticket);
        return;
    }
    pending.phase = PendingRequest::Phase::Claiming;
    if (!refuseBeforeClaim(pending))
        advance(pending);
}

bool NonRepeatableRequests::refuseBeforeClaim(PendingRequest& pending)
{
    RequestClaims::KeyState keyState = m_claims.keyState(pending.key);
    // A result in the ledger takes precedence over a refusal, because a refusal invites the caller to retry.
    if (keyState != RequestClaims::KeyState::Unclaimed && keyState != RequestClaims::KeyState::NotReplayed)
        return false;
    std::string_view reason;
    if (!m_claims.logReachable())
        reason = "log_unavailable";
    else if (keyState == RequestClaims::KeyState::Unclaimed)
        reason = m_hooks.refusalReason(pending);
    else if (!m_claims.isFirstReplay())
        reason = "ledger_incomplete";
    if (reason.empty())
        return false;
    m_hooks.refuse(pending, reason);
    return true;
}

void NonRepeatableRequests::advance(PendingRequest& pending)
{
    if (pending.phase != PendingRequest::Phase::Claiming)
        return;
    RequestClaims::KeyState keyState = m_claims.keyState(pending.key);
    switch (keyState) {
    case RequestClaims::KeyState::NotReplayed:
    case RequestClaims::KeyState::OwnClaimReleasing:
    case RequestClaims::KeyState::OwnClaimUsed:
        return;
    case RequestClaims::KeyState::Unclaimed:
        return claimKey(pending);
    case RequestClaims::KeyState::ClaimedElsewhere:
    case RequestClaims::KeyState::Done:
    case RequestClaims::KeyState::OutcomeUnknown:
        return respondFromLedger(pending, keyState);
    case RequestClaims::KeyState::OwnClaimUnused:
        break;
    }
    m_environment.faultPoint("request.after_claim");
    pending.usedClaimSequence = m_claims.useClaim(pending.key);
    m_telemetry.recordClaimed(pending.request);
    m_hooks.admit(pending);
}

void NonRepeatableRequests::claimKey(PendingRequest& pending)
{
    // A claim that has not been read back from the stream may still win.
    if (pending.claimInFlight || (pending.claim && !m_claims.isRejected(pending.key, *pending.claim)))
        return;
    m_environment.faultPoint("request.before_claim");
    pending.claim.reset();
    pending.claimInFlight = true;
    m_claims.appendClaim(pending.key, pending.request.id, pending.ticket, pending.deadline);
}

void NonRepeatableRequests::respondFromLedger(PendingRequest& pending, RequestClaims::KeyState keyState)
{
    if (keyState == RequestClaims::KeyState::ClaimedElsewhere)
        return m_hooks.finish(pending, unknownOutcomeResponse("claimed_by_another_attempt"));
    if (keyState == RequestClaims::KeyState::OutcomeUnknown)
        return m_hooks.finish(pending, unknownOutcomeResponse("answer_lost"));
    RequestMessage::ServiceResponse response;
    if (const RequestMessage::ServiceResponse* cached = m_responses.find(pending.key))
        response = *cached;
    else
        response.status = m_claims.doneStatus(pending.key);
    response.outcome = state::RequestOutcome::Done;
    m_hooks.finish(pending, response);
}

void NonRepeatableRequests::expire(PendingRequest& pending)
{
    RequestClaims::KeyState keyState = m_claims.keyState(pending.key);
    bool ledgerHasResult = keyState == RequestClaims::KeyState::ClaimedElsewhere
        || keyState == RequestClaims::KeyState::Done || keyState == RequestClaims::KeyState::OutcomeUnknown;
    if (ledgerHasResult)
        respondFromLedger(pending, keyState);
    else
        m_hooks.refuse(pending, "deadline_passed");
}

void NonRepeatableRequests::onRequestEnded(
    const PendingRequest& pending, const RequestMessage::ServiceResponse& response)
{
    if (pending.usedClaimSequence) {
        bool done = response.outcome == state::RequestOutcome::Done;
        if (done)
            m_responses.store(pending.key, response);
        m_environment.faultPoint("request.before_outcome");
        m_claims.recordOutcome(pending.key, *pending.usedClaimSequence, response.outcome, done ? response.status : 0);
    }
    auto primary = m_primaryTickets.find(pending.key);
    if (primary != m_primaryTickets.end() && primary->second == pending.ticket) {
        m_primaryTickets.erase(primary);
        releaseUnusedClaim(pending.key);
    }
    finishCoalesced(pending.coalescedTickets, response);
}

void NonRepeatableRequests::finishCoalesced(
    const std::vector<std::uint64_t>& coalescedTickets, const RequestMessage::ServiceResponse& response)
{
    for (std::uint64_t ticket : coalescedTickets) {
        PendingRequest* coalesced = m_hooks.find(ticket);
        if (!coalesced)
            continue;
        // The primary did not run, so a coalesced request may still be dispatched.
        if (response.outcome == state::RequestOutcome::NotRun)
            begin(*coalesced);
        else
            m_hooks.finish(*coalesced, response);
    }
}

void NonRepeatableRequests::releaseUnusedClaim(const state::KeyDigest& key)
{
    if (m_claims.keyState(key) != RequestClaims::KeyState::OwnClaimUnused)
        return;
    m_claims.recordOutcome(key, m_claims.useClaim(key), state::RequestOutcome::NotRun, 0);
}

void NonRepeatableRequests::applyBatch(const state::StreamBatch& batch)
{
    bool wasFirstReplay = m_claims.isFirstReplay();
    std::vector<state::KeyDigest> changedKeys = m_claims.applyBatch(batch);
    if (wasFirstReplay && !m_claims.isFirstReplay())
        resumeAfterReplay();
    for (const state::KeyDigest& key : changedKeys) {
        auto primary = m_primaryTickets.find(key);
        if (primary == m_primaryTickets.end())
            releaseUnusedClaim(key);
        else
            advance(*m_hooks.find(primary->second));
    }
}

void NonRepeatableRequests::resumeAfterReplay()
{
    std::vector<std::uint64_t> tickets;
    for (const auto& [key, ticket] : m_primaryTickets)
        tickets.push_back(ticket);
    for (std::uint64_t ticket : tickets) {
        PendingRequest* pending = m_hooks.find(ticket);
        if (pending && pending->phase == PendingRequest::Phase::Claiming && !refuseBeforeClaim(*pending))
            advance(*pending);
    }
}

void NonRepeatableRequests::onClaimAppendResult(const RequestMessage::ClaimAppendResult& message)
{
    PendingRequest* pending = m_hooks.find(message.ticket);
    if (!pending || pending->phase != PendingRequest::Phase::Claiming)
        return;
    pending->claimInFlight = false;
    if (message.certainlyNotAppended)
        return m_hooks.refuse(*pending, "log_unavailable");
    pending->claim = message.origin;
    advance(*pending);
}

} // namespace lentilsaddle::coordination
