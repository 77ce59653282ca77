#include "coordination/requests/ServiceRouter.h"

#include "coordination/requests/ServiceResponses.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

ServiceRouter::ServiceRouter(
    state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks)
    : m_service(std::move(service))
    , m_environment(environment)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_telemetry(environment)
    , m_nonRepeatable(m_service, environment, options,
          { .postLog = m_hooks.postLog, .post = m_hooks.post, .startTimer = m_hooks.startTimer }, nonRepeatableHooks())
    , m_dispatcher(m_service, environment, options, dispatcherHooks())
{
}

ServiceDispatcher::Hooks ServiceRouter::dispatcherHooks()
{
    return {
        .send = m_hooks.send,
        .startTimer = m_hooks.startTimer,
        .previousBackendServer =
            [this](Ticket ticket) {
                PendingRequest* pending = find(ticket);
                return pending ? pending->backendServer : state::InstanceId();
            },
        .prepare
        = [this](Ticket ticket, const state::InstanceId& backendServer) { return prepare(ticket, backendServer); },
        .onDispatched = [this](Ticket ticket) { onDispatched(ticket); },
        .onResult = [this](Ticket ticket, int attempt, RequestPolicy::Result result,
                        transport::HttpResponse response) { onResult(ticket, attempt, result, std::move(response)); },
        .onEvicted =
            [this](Ticket ticket, std::chrono::milliseconds estimatedWait) {
                if (PendingRequest* pending = find(ticket))
                    finishUnserved(*pending, "queue_full", retryAfterHint(estimatedWait));
            },
    };
}

NonRepeatableRequests::Hooks ServiceRouter::nonRepeatableHooks()
{
    return {
        .find = [this](Ticket ticket) { return find(ticket); },
        .refusalReason =
            [this](const PendingRequest& pending) {
                if (!m_dispatcher.hasLiveBackendServer())
                    return std::string_view("no_backend_server");
                return refusalReason(m_dispatcher.checkAdmission(queueItem(pending)));
            },
        .admit = [this](PendingRequest& pending) { enqueue(pending); },
        .refuse = [this](PendingRequest& pending,
                      std::string_view reason) { finishUnserved(pending, reason, retryAfterHint({})); },
        .finish = [this](PendingRequest& pending, const Response& response) { finish(pending, response); },
    };
}

PendingRequest* ServiceRouter::find(Ticket ticket)
{
    auto found = m_pending.find(ticket);
    return found == m_pending.end() ? nullptr : &found->second;
}

AdmissionQueue::Item ServiceRouter::queueItem(const PendingRequest& pending) const
{
    return { .ticket = pending.ticket, .account = pending.request.account, .deadline = pending.deadline };
}

void ServiceRouter::submit(RequestMessage::Submit message)
{
    Ticket ticket = ++m_lastTicket;
    PendingRequest& pending = m_pending[ticket];
    pending.ticket = ticket;
    pending.request = std::move(message.request);
    pending.reply = std::move(message.reply);
    pending.deadline = m_environment.monotonicClock() + pending.request.timeout;
    if (pending.request.nonRepeatable && pending.request.idempotencyKey.empty())
        return finish(pending, notRunResponse("idempotency_key_required"));
    retryBudgetFor(pending.request.account).countRequest(m_environment.monotonicClock());
    startDeadlineTimer(pending);
    begin(pending);
    m_dispatcher.dispatchQueued();
}

void ServiceRouter::begin(PendingRequest& pending)
{
    if (pending.request.nonRepeatable)
        m_nonRepeatable.begin(pending);
    else if (!m_dispatcher.hasLiveBackendServer())
        finishUnserved(pending, "no_backend_server", retryAfterHint({}));
    else
        enqueue(pending);
}

void ServiceRouter::enqueue(PendingRequest& pending)
{
    pending.phase = PendingRequest::Phase::Queued;
    AdmissionQueue::Admission admission = m_dispatcher.enqueue(queueItem(pending));
    if (admission.verdict != AdmissionQueue::Verdict::Accepted)
        return finishUnserved(pending, refusalReason(admission.verdict), retryAfterHint(admission.estimatedWait));
    m_telemetry.recordQueued(pending.request);
}

std::optional<ServiceDispatcher::PreparedCall> ServiceRouter::prepare(
    Ticket ticket, const state::InstanceId& backendServer)
{
    PendingRequest* pending = find(ticket);
    if (!pending)
        return std::nullopt;
    m_environment.faultPoint("request.before_hand_over");
    // The process may have been paused since the request was queued.
    state::MonotonicTime now = m_environment.monotonicClock();
    if (now >= pending->deadline) {
        finishUnserved(*pending, "deadline_passed");
        return std::nullopt;
    }
    ++pending->attempt;
    pending->backendServer = backendServer;
    pending->phase = PendingRequest::Phase::Dispatched;
    auto remaining = std::max(
        std::chrono::milliseconds(1), std::chrono::floor<std::chrono::milliseconds>(pending->deadline - now));
    ServiceDispatcher::PreparedCall prepared {
        .call = backendCall(pending->request, pending->attempt, remaining),
        .request = pending->request.id,
        .attempt = pending->attempt,
    };
    if (pending->request.nonRepeatable)
        prepared.call.timeout = remaining + m_options.lateResponseGrace;
    m_telemetry.recordDispatched(pending->request, backendServer, pending->attempt);
    return prepared;
}

void ServiceRouter::onDispatched(Ticket)
{
    m_environment.faultPoint("request.after_hand_over");
}

void ServiceRouter::onResult(Ticket ticket, int attempt, RequestPolicy::Result result, transport::HttpResponse response)
{
    PendingRequest* pending = find(ticket);
    if (!pending || pending->attempt != attempt || pending->phase != PendingRequest::Phase::Dispatched) {
        if (result == RequestPolicy::Result::ResponseReceived)
            m_telemetry.countLateResponse(m_service);
        return;
    }
    if (pending->responded)
        return onLateResult(*pending, result, response);
    state::MonotonicTime now = m_environment.monotonicClock();
    RequestPolicy::Decision decision = RequestPolicy::decide(result,
        {
            .repeatable = !pending->request.nonRepeatable,
            .mayHaveRun = pending->mayHaveRun,
            .deadlinePassed = now >= pending->deadline,
            .tryConsumeRetry = [&] { return retryBudgetFor(pending->request.account).tryConsume(now); },
        });
    pending->mayHaveRun = pending->mayHaveRun || !RequestPolicy::provesNotStarted(result);
    switch (decision.action) {
    case RequestPolicy::Action::Retry:
        return retry(*pending, decision.reason);
    case RequestPolicy::Action::ReportDone:
        return finish(*pending, doneResponse(std::move(response)));
    case RequestPolicy::Action::ReportNotRun:
        return finish(*pending, notRunResponse(decision.reason, retryAfterHint({})));
    case RequestPolicy::Action::ReportUnknown:
        return finish(*pending, unknownOutcomeResponse(decision.reason));
    }
}

void ServiceRouter::onLateResult(
    PendingRequest& pending, RequestPolicy::Result result, const transport::HttpResponse& response)
{
    if (result == RequestPolicy::Result::ResponseReceived) {
        m_telemetry.countLateResponse(m_service);
        return finish(pending, doneResponse(response));
    }
    bool notRun = !pending.mayHaveRun && RequestPolicy::provesNotStarted(result);
    finish(pending, notRun ? notRunResponse("deadline_passed") : unknownOutcomeResponse("answer_lost"));
}

void ServiceRouter::retry(PendingRequest& pending, std::string_view reason)
{
    m_telemetry.recordRetry(pending.request, reason);
    enqueue(pending);
}

RetryBudget& ServiceRouter::retryBudgetFor(const state::AccountId& account)
{
    return m_budgets.try_emplace(account, m_options.retryBudget).first->second;
}

void ServiceRouter::startDeadlineTimer(PendingRequest& pending)
{
    auto delay = std::chrono::ceil<std::chrono::microseconds>(pending.deadline - m_environment.monotonicClock());
    pending.deadlineTimer = m_hooks.startTimer(delay, [this, ticket = pending.ticket] { onDeadline(ticket); });
}

void ServiceRouter::onDeadline(Ticket ticket)
{
    PendingRequest* pending = find(ticket);
    if (!pending || pending->responded)
        return;
    if (m_environment.monotonicClock() < pending->deadline)
        return startDeadlineTimer(*pending);
    finishAtDeadline(*pending);
    m_dispatcher.dispatchQueued();
}

void ServiceRouter::finishAtDeadline(PendingRequest& pending)
{
    switch (pending.phase) {
    case PendingRequest::Phase::Queued:
        for (const AdmissionQueue::Item& item : m_dispatcher.removeExpired()) {
            if (PendingRequest* expired = find(item.ticket))
                finishUnserved(*expired, "deadline_passed");
        }
        return;
    case PendingRequest::Phase::Claiming:
        return m_nonRepeatable.expire(pending);
    case PendingRequest::Phase::Coalesced:
        return finish(pending, unknownOutcomeResponse("in_progress"));
    case PendingRequest::Phase::Dispatched:
        break;
    }
    if (!pending.request.nonRepeatable)
        return finish(pending, unknownOutcomeResponse("deadline_passed"));
    // The call is not cancelled, so that its outcome can be recorded.
    reply(pending, unknownOutcomeResponse("deadline_passed"));
}

void ServiceRouter::finishUnserved(PendingRequest& pending, std::string_view reason, std::chrono::seconds retryAfter)
{
    finish(pending, pending.mayHaveRun ? unknownOutcomeResponse(reason) : notRunResponse(reason, retryAfter));
}

void ServiceRouter::reply(PendingRequest& pending, const Response& response)
{
    if (pending.responded)
        return;
    pending.responded = true;
    m_telemetry.recordResponse(pending.request, response);
    pending.reply(response);
}

void ServiceRouter::finish(PendingRequest& pending, const Response& response)
{
    m_hooks.cancelTimer(pending.deadlineTimer);
    PendingRequest ended = std::move(m_pending.extract(pending.ticket).mapped());
    // The outcome is recorded before the response is sent, so that a caller that repeats the request gets the outcome
    // from every instance that has read the record.
    if (ended.request.nonRepeatable)
        m_nonRepeatable.onRequestEnded(ended, response);
    reply(ended, response);
    m_hooks.onIdle();
}

void ServiceRouter::applyBatch(const state::StreamBatch& batch)
{
    m_nonRepeatable.applyBatch(batch);
    m_dispatcher.dispatchQueued();
    m_hooks.onIdle();
}

void ServiceRouter::onClaimAppendResult(const RequestMessage::ClaimAppendResult& message)
{
    m_nonRepeatable.onClaimAppendResult(message);
    m_dispatcher.dispatchQueued();
}

void ServiceRouter::onOutcomeAppendResult(const RequestMessage::OutcomeAppendResult& message)
{
    m_nonRepeatable.onOutcomeAppendResult(message);
    m_hooks.onIdle();
}

void ServiceRouter::setLogReachable(bool reachable)
{
    m_nonRepeatable.setLogReachable(reachable);
    m_hooks.onIdle();
}

bool ServiceRouter::idle() const
{
    return m_pending.empty() && m_nonRepeatable.allOutcomesRecorded();
}

} // namespace lentilsaddle::coordination
