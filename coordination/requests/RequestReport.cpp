#include "coordination/requests/RequestReport.h"

#include "transport/Metrics.h"

#include <utility>

namespace lentilsaddle::coordination {

RequestReport::RequestReport(const TaskEnvironment& environment)
    : m_environment(environment)
{
}

void RequestReport::received(const RequestMessage::ServiceRequest& request) const
{
    event(request, "request.received", "service=" + request.service.value() + " account=" + request.account.value());
}

void RequestReport::queued(const RequestMessage::ServiceRequest& request) const
{
    event(request, "request.queued", "");
}

void RequestReport::claimed(const RequestMessage::ServiceRequest& request) const
{
    event(request, "request.claimed", "");
}

void RequestReport::handedOver(
    const RequestMessage::ServiceRequest& request, const state::InstanceId& runner, int attempt) const
{
    event(request, "request.handed_over", "runner=" + runner.value() + " attempt=" + std::to_string(attempt));
}

void RequestReport::retried(const RequestMessage::ServiceRequest& request, std::string_view reason) const
{
    event(request, "request.retried", "reason=" + std::string(reason));
    count("lentilsaddle_request_retries_total",
        { { "service", request.service.value() }, { "reason", std::string(reason) } });
}

void RequestReport::answered(
    const RequestMessage::ServiceRequest& request, const RequestMessage::ServiceResponse& answer) const
{
    std::string outcome(state::toString(answer.outcome));
    bool refused = answer.outcome == state::RequestOutcome::NotRun;
    event(request, refused ? "request.refused" : "request.answered",
        "outcome=" + outcome + " reason=" + answer.reason + " status=" + std::to_string(answer.status));
    count("lentilsaddle_requests_total", { { "outcome", outcome }, { "reason", answer.reason } });
}

void RequestReport::ejected(const state::ServiceId& service, const state::InstanceId& runner) const
{
    count("lentilsaddle_runner_ejections_total", { { "service", service.value() }, { "runner", runner.value() } });
}

void RequestReport::lateAnswerDropped(const state::ServiceId& service) const
{
    count("lentilsaddle_late_answers_dropped_total", { { "service", service.value() } });
}

void RequestReport::crossedAnswerDropped(const state::ServiceId& service) const
{
    count("lentilsaddle_crossed_answers_dropped_total", { { "service", service.value() } });
}

void RequestReport::queueLength(const state::ServiceId& service, std::size_t length) const
{
    if (m_environment.metrics)
        m_environment.metrics->setGauge(
            "lentilsaddle_request_queue_length", static_cast<double>(length), { { "service", service.value() } });
}

void RequestReport::event(const RequestMessage::ServiceRequest& request, std::string kind, std::string detail) const
{
    if (m_environment.recordEvent)
        m_environment.recordEvent(request.id.value(), std::move(kind), std::move(detail));
}

void RequestReport::count(const std::string& name, const std::map<std::string, std::string>& labels) const
{
    if (m_environment.metrics)
        m_environment.metrics->increment(name, labels);
}

} // namespace lentilsaddle::coordination
