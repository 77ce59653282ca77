#include "coordination/requests/ServiceRouter.h"

#include "coordination/requests/RequestAnswers.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

ServiceRouter::ServiceRouter(
    state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks)
    : m_service(std::move(service))
    , m_environment(environment)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_report(environment)
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
        .previousRunner =
            [this](Ticket ticket) {
                PendingRequest* pending = find(ticket);
                return pending ? pending->runner : state::InstanceId();
            },
        .prepare = [this](Ticket ticket, const state::InstanceId& runner) { return prepare(ticket, runner); },
        .onHandedOver = [this](Ticket ticket) { onHandedOver(ticket); },
        .onResult = [this](Ticket ticket, int attempt, RequestPolicy::Result result,
                        transport::HttpResponse response) { onResult(ticket, attempt, result, std::move(response)); },
        .onEvicted =
            [this](Ticket ticket, std::chrono::milliseconds estimatedWait) {
                if (PendingRequest* pending = find(ticket))
                    endUnserved(*pending, "queue_full", retryAfter(estimatedWait));
            },
    };
}

NonRepeatableRequests::Hooks ServiceRouter::nonRepeatableHooks()
{
    return {
        .find = [this](Ticket ticket) { return find(ticket); },
        .refusal =
            [this](const PendingRequest& pending) {
                if (!m_dispatcher.anyRunner())
                    return std::string_view("no_backend_server");
                return refusalReason(m_dispatcher.check(itemOf(pending)));
            },
        .admit = [this](PendingRequest& pending) { enqueue(pending); },
        .refuse
        = [this](PendingRequest& pending, std::string_view reason) { endUnserved(pending, reason, retryAfter({})); },
        .finish = [this](PendingRequest& pending, const Answer& answer) { finish(pending, answer); },
    };
}

PendingRequest* ServiceRouter::find(Ticket ticket)
{
    auto found = m_pending.find(ticket);
    return found == m_pending.end() ? nullptr : &found->second;
}

AdmissionQueue::Item ServiceRouter::itemOf(const PendingRequest& pending) const
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
        return finish(pending, notRunAnswer("idempotency_key_required"));
    budgetOf(pending.request.account).countRequest(m_environment.monotonicClock());
    startDeadlineTimer(pending);
    begin(pending);
    m_dispatcher.pump();
}

void ServiceRouter::begin(PendingRequest& pending)
{
    if (pending.request.nonRepeatable)
        m_nonRepeatable.begin(pending);
    else if (!m_dispatcher.anyRunner())
        endUnserved(pending, "no_backend_server", retryAfter({}));
    else
        enqueue(pending);
}

void ServiceRouter::enqueue(PendingRequest& pending)
{
    pending.phase = PendingRequest::Phase::Queued;
    AdmissionQueue::Admission admission = m_dispatcher.offer(itemOf(pending));
    if (admission.verdict != AdmissionQueue::Verdict::Accepted)
        return endUnserved(pending, refusalReason(admission.verdict), retryAfter(admission.estimatedWait));
    m_report.queued(pending.request);
}

std::optional<ServiceDispatcher::Delivery> ServiceRouter::prepare(Ticket ticket, const state::InstanceId& runner)
{
    PendingRequest* pending = find(ticket);
    if (!pending)
        return std::nullopt;
    m_environment.faultPoint("request.before_hand_over");
    // The process may have been paused since the request was queued.
    state::MonotonicTime now = m_environment.monotonicClock();
    if (now >= pending->deadline) {
        endUnserved(*pending, "deadline_passed");
        return std::nullopt;
    }
    ++pending->attempt;
    pending->runner = runner;
    pending->phase = PendingRequest::Phase::HandedOver;
    auto remaining = std::max(
        std::chrono::milliseconds(1), std::chrono::floor<std::chrono::milliseconds>(pending->deadline - now));
    ServiceDispatcher::Delivery delivery {
        .call = backendCall(pending->request, pending->attempt, remaining),
        .request = pending->request.id,
        .attempt = pending->attempt,
    };
    if (pending->request.nonRepeatable)
        delivery.call.timeout = remaining + m_options.lateAnswerGrace;
    m_report.handedOver(pending->request, runner, pending->attempt);
    return delivery;
}

void ServiceRouter::onHandedOver(Ticket)
{
    m_environment.faultPoint("request.after_hand_over");
}

void ServiceRouter::onResult(Ticket ticket, int attempt, RequestPolicy::Result result, transport::HttpResponse response)
{
    PendingRequest* pending = find(ticket);
    if (!pending || pending->attempt != attempt || pending->phase != PendingRequest::Phase::HandedOver) {
        if (result == RequestPolicy::Result::ResponseReceived)
            m_report.lateAnswerDropped(m_service);
        return;
    }
    if (pending->answered)
        return onLateResult(*pending, result, response);
    state::MonotonicTime now = m_environment.monotonicClock();
    RequestPolicy::Decision verdict = RequestPolicy::decide(result,
        {
            .repeatable = !pending->request.nonRepeatable,
            .mayHaveRun = pending->mayHaveRun,
            .deadlinePassed = now >= pending->deadline,
            .tryConsumeRetry = [&] { return budgetOf(pending->request.account).tryConsume(now); },
        });
    pending->mayHaveRun = pending->mayHaveRun || !RequestPolicy::provesNotStarted(result);
    switch (verdict.action) {
    case RequestPolicy::Action::Retry:
        return retry(*pending, verdict.reason);
    case RequestPolicy::Action::ReportDone:
        return finish(*pending, doneAnswer(std::move(response)));
    case RequestPolicy::Action::ReportNotRun:
        return finish(*pending, notRunAnswer(verdict.reason, retryAfter({})));
    case RequestPolicy::Action::ReportUnknown:
        return finish(*pending, unknownAnswer(verdict.reason));
    }
}

void ServiceRouter::onLateResult(
    PendingRequest& pending, RequestPolicy::Result result, const transport::HttpResponse& response)
{
    if (result == RequestPolicy::Result::ResponseReceived) {
        m_report.lateAnswerDropped(m_service);
        return finish(pending, doneAnswer(response));
    }
    bool notRun = !pending.mayHaveRun && RequestPolicy::provesNotStarted(result);
    finish(pending, notRun ? notRunAnswer("deadline_passed") : unknownAnswer("answer_lost"));
}

void ServiceRouter::retry(PendingRequest& pending, std::string_view reason)
{
    m_report.retried(pending.request, reason);
    enqueue(pending);
}

RetryBudget& ServiceRouter::budgetOf(const state::AccountId& account)
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
    if (!pending || pending->answered)
        return;
    if (m_environment.monotonicClock() < pending->deadline)
        return startDeadlineTimer(*pending);
    endAtDeadline(*pending);
    m_dispatcher.pump();
}

void ServiceRouter::endAtDeadline(PendingRequest& pending)
{
    switch (pending.phase) {
    case PendingRequest::Phase::Queued:
        for (const AdmissionQueue::Item& item : m_dispatcher.takeExpired()) {
            if (PendingRequest* expired = find(item.ticket))
                endUnserved(*expired, "deadline_passed");
        }
        return;
    case PendingRequest::Phase::Claiming:
        return m_nonRepeatable.expire(pending);
    case PendingRequest::Phase::Following:
        return finish(pending, unknownAnswer("in_progress"));
    case PendingRequest::Phase::HandedOver:
        break;
    }
    if (!pending.request.nonRepeatable)
        return finish(pending, unknownAnswer("deadline_passed"));
    // The call goes on, so that its outcome can be recorded.
    reply(pending, unknownAnswer("deadline_passed"));
}

void ServiceRouter::endUnserved(PendingRequest& pending, std::string_view reason, std::chrono::seconds retryAfter)
{
    finish(pending, pending.mayHaveRun ? unknownAnswer(reason) : notRunAnswer(reason, retryAfter));
}

void ServiceRouter::reply(PendingRequest& pending, const Answer& answer)
{
    if (pending.answered)
        return;
    pending.answered = true;
    m_report.answered(pending.request, answer);
    pending.reply(answer);
}

void ServiceRouter::finish(PendingRequest& pending, const Answer& answer)
{
    m_hooks.cancelTimer(pending.deadlineTimer);
    PendingRequest ended = std::move(m_pending.extract(pending.ticket).mapped());
    // The outcome is recorded first, so that a caller who asks again finds it wherever the record has been read.
    if (ended.request.nonRepeatable)
        m_nonRepeatable.ended(ended, answer);
    reply(ended, answer);
    m_hooks.onIdle();
}

void ServiceRouter::acceptLog(const state::StreamBatch& batch)
{
    m_nonRepeatable.acceptLog(batch);
    m_dispatcher.pump();
    m_hooks.onIdle();
}

void ServiceRouter::claimAppended(const RequestMessage::ClaimAppended& message)
{
    m_nonRepeatable.claimAppended(message);
    m_dispatcher.pump();
}

void ServiceRouter::outcomeAppended(const RequestMessage::OutcomeAppended& message)
{
    m_nonRepeatable.outcomeAppended(message);
    m_hooks.onIdle();
}

void ServiceRouter::setLogReachable(bool reachable)
{
    m_nonRepeatable.setLogReachable(reachable);
    m_hooks.onIdle();
}

bool ServiceRouter::idle() const
{
    return m_pending.empty() && m_nonRepeatable.recorded();
}

} // namespace lentilsaddle::coordination
