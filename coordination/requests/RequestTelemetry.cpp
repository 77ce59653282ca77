#include "coordination/requests/RequestTelemetry.h"

#include "transport/Metrics.h"

#include <utility>

namespace lentilsaddle::coordination {

RequestTelemetry::RequestTelemetry(const TaskEnvironment& environment)
    : m_environment(environment)
{
}

void RequestTelemetry::recordReceived(const RequestMessage::ServiceRequest& request) const
{
    recordEvent(
        request, "request.received", "service=" + request.service.value() + " account=" + request.account.value());
}

void RequestTelemetry::recordQueued(const RequestMessage::ServiceRequest& request) const
{
    recordEvent(request, "request.queued", "");
}

void RequestTelemetry::recordClaimed(const RequestMessage::ServiceRequest& request) const
{
    recordEvent(request, "request.claimed", "");
}

void RequestTelemetry::recordDispatched(
    const RequestMessage::ServiceRequest& request, const state::InstanceId& backendServer, int attempt) const
{
    recordEvent(
        request, "request.handed_over", "runner=" + backendServer.value() + " attempt=" + std::to_string(attempt));
}

void RequestTelemetry::recordRetry(const RequestMessage::ServiceRequest& request, std::string_view reason) const
{
    recordEvent(request, "request.retried", "reason=" + std::string(reason));
    incrementCounter("lentilsaddle_request_retries_total",
        { { "service", request.service.value() }, { "reason", std::string(reason) } });
}

void RequestTelemetry::recordResponse(
    const RequestMessage::ServiceRequest& request, const RequestMessage::ServiceResponse& response) const
{
    std::string outcome(state::toString(response.outcome));
    bool refused = response.outcome == state::RequestOutcome::NotRun;
    recordEvent(request, refused ? "request.refused" : "request.answered",
        "outcome=" + outcome + " reason=" + response.reason + " status=" + std::to_string(response.status));
    incrementCounter("lentilsaddle_requests_total", { { "outcome", outcome }, { "reason", response.reason } });
}

void RequestTelemetry::countEjection(const state::ServiceId& service, const state::InstanceId& backendServer) const
{
    incrementCounter(
        "lentilsaddle_runner_ejections_total", { { "service", service.value() }, { "runner", backendServer.value() } });
}

void RequestTelemetry::countLateResponse(const state::ServiceId& service) const
{
    incrementCounter("lentilsaddle_late_answers_dropped_total", { { "service", service.value() } });
}

void RequestTelemetry::countMismatchedResponse(const state::ServiceId& service) const
{
    incrementCounter("lentilsaddle_crossed_answers_dropped_total", { { "service", service.value() } });
}

void RequestTelemetry::setQueueLength(const state::ServiceId& service, std::size_t length) const
{
    if (m_environment.metrics)
        m_environment.metrics->setGauge(
            "lentilsaddle_request_queue_length", static_cast<double>(length), { { "service", service.value() } });
}

void RequestTelemetry::recordEvent(
    const RequestMessage::ServiceRequest& request, std::string kind, std::string detail) const
{
    if (m_environment.recordEvent)
        m_environment.recordEvent(request.id.value(), std::move(kind), std::move(detail));
}

void RequestTelemetry::incrementCounter(const std::string& name, const std::map<std::string, std::string>& labels) const
{
    if (m_environment.metrics)
        m_environment.metrics->increment(name, labels);
}

} // namespace lentilsaddle::coordination
