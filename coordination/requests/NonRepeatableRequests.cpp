#include "coordination/requests/NonRepeatableRequests.h"

#include "coordination/requests/RequestAnswers.h"

#include <utility>

namespace lentilsaddle::coordination {

NonRepeatableRequests::NonRepeatableRequests(state::ServiceId service, const TaskEnvironment& environment,
    const RequestTaskOptions& options, RequestClaims::Hooks claimHooks, Hooks hooks)
    : m_environment(environment)
    , m_hooks(std::move(hooks))
    , m_report(environment)
    , m_claims(std::move(service), environment, options, std::move(claimHooks))
    , m_answers(options.answerCacheBytes)
{
}

void NonRepeatableRequests::begin(PendingRequest& pending)
{
    const RequestMessage::ServiceRequest& request = pending.request;
    pending.key = state::KeyDigest::of(request.account.value(), request.service.value(), request.idempotencyKey);
    auto [leader, isLeader] = m_leaders.try_emplace(pending.key, pending.ticket);
    if (!isLeader) {
        pending.phase = PendingRequest::Phase::Following;
        m_hooks.find(leader->second)->followers.push_back(pending.ticket);
        return;
    }
    pending.phase = PendingRequest::Phase::Claiming;
    if (!refusedBeforeClaim(pending))
        advance(pending);
}

bool NonRepeatableRequests::refusedBeforeClaim(PendingRequest& pending)
{
    RequestClaims::Standing standing = m_claims.standing(pending.key);
    // What the ledger knows of the key comes before any refusal, which would invite the caller to try again.
    if (standing != RequestClaims::Standing::Free && standing != RequestClaims::Standing::Incomplete)
        return false;
    std::string_view reason;
    if (!m_claims.logReachable())
        reason = "log_unavailable";
    else if (standing == RequestClaims::Standing::Free)
        reason = m_hooks.refusal(pending);
    else if (!m_claims.stillReading())
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
    RequestClaims::Standing standing = m_claims.standing(pending.key);
    switch (standing) {
    case RequestClaims::Standing::Incomplete:
    case RequestClaims::Standing::Releasing:
    case RequestClaims::Standing::InHand:
        return;
    case RequestClaims::Standing::Free:
        return advanceFreeKey(pending);
    case RequestClaims::Standing::Taken:
    case RequestClaims::Standing::Done:
    case RequestClaims::Standing::Unknown:
        return answerFromLedger(pending, standing);
    case RequestClaims::Standing::Ours:
        break;
    }
    m_environment.faultPoint("request.after_claim");
    pending.takenClaim = m_claims.take(pending.key);
    m_report.claimed(pending.request);
    m_hooks.admit(pending);
}

void NonRepeatableRequests::advanceFreeKey(PendingRequest& pending)
{
    // A claim that has not been read yet may still win.
    if (pending.claimInFlight || (pending.claim && !m_claims.isSpent(pending.key, *pending.claim)))
        return;
    m_environment.faultPoint("request.before_claim");
    pending.claim.reset();
    pending.claimInFlight = true;
    m_claims.claim(pending.key, pending.request.id, pending.ticket, pending.deadline);
}

void NonRepeatableRequests::answerFromLedger(PendingRequest& pending, RequestClaims::Standing standing)
{
    if (standing == RequestClaims::Standing::Taken)
        return m_hooks.finish(pending, unknownAnswer("claimed_by_another_attempt"));
    if (standing == RequestClaims::Standing::Unknown)
        return m_hooks.finish(pending, unknownAnswer("answer_lost"));
    RequestMessage::ServiceResponse answer;
    if (const RequestMessage::ServiceResponse* kept = m_answers.find(pending.key))
        answer = *kept;
    else
        answer.status = m_claims.doneStatus(pending.key);
    answer.outcome = state::RequestOutcome::Done;
    m_hooks.finish(pending, answer);
}

void NonRepeatableRequests::expire(PendingRequest& pending)
{
    RequestClaims::Standing standing = m_claims.standing(pending.key);
    bool heldByAnother = standing == RequestClaims::Standing::Taken || standing == RequestClaims::Standing::Done
        || standing == RequestClaims::Standing::Unknown;
    if (heldByAnother)
        answerFromLedger(pending, standing);
    else
        m_hooks.refuse(pending, "deadline_passed");
}

void NonRepeatableRequests::ended(const PendingRequest& pending, const RequestMessage::ServiceResponse& answer)
{
    if (pending.takenClaim) {
        bool done = answer.outcome == state::RequestOutcome::Done;
        if (done)
            m_answers.store(pending.key, answer);
        m_environment.faultPoint("request.before_outcome");
        m_claims.end(pending.key, *pending.takenClaim, answer.outcome, done ? answer.status : 0);
    }
    auto leader = m_leaders.find(pending.key);
    if (leader != m_leaders.end() && leader->second == pending.ticket) {
        m_leaders.erase(leader);
        releaseIfAbandoned(pending.key);
    }
    finishFollowers(pending.followers, answer);
}

void NonRepeatableRequests::finishFollowers(
    const std::vector<std::uint64_t>& followers, const RequestMessage::ServiceResponse& answer)
{
    for (std::uint64_t ticket : followers) {
        PendingRequest* follower = m_hooks.find(ticket);
        if (!follower)
            continue;
        // A follower may still succeed where the first request did not run.
        if (answer.outcome == state::RequestOutcome::NotRun)
            begin(*follower);
        else
            m_hooks.finish(*follower, answer);
    }
}

void NonRepeatableRequests::releaseIfAbandoned(const state::KeyDigest& key)
{
    if (m_claims.standing(key) != RequestClaims::Standing::Ours)
        return;
    m_claims.end(key, m_claims.take(key), state::RequestOutcome::NotRun, 0);
}

void NonRepeatableRequests::acceptLog(const state::StreamBatch& batch)
{
    bool wasReading = m_claims.stillReading();
    std::vector<state::KeyDigest> touched = m_claims.accept(batch);
    if (wasReading && !m_claims.stillReading())
        resumeAll();
    for (const state::KeyDigest& key : touched) {
        auto leader = m_leaders.find(key);
        if (leader == m_leaders.end())
            releaseIfAbandoned(key);
        else
            advance(*m_hooks.find(leader->second));
    }
}

void NonRepeatableRequests::resumeAll()
{
    std::vector<std::uint64_t> tickets;
    for (const auto& [key, ticket] : m_leaders)
        tickets.push_back(ticket);
    for (std::uint64_t ticket : tickets) {
        PendingRequest* pending = m_hooks.find(ticket);
        if (pending && pending->phase == PendingRequest::Phase::Claiming && !refusedBeforeClaim(*pending))
            advance(*pending);
    }
}

void NonRepeatableRequests::claimAppended(const RequestMessage::ClaimAppended& message)
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
