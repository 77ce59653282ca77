#include "coordination/requests/ServiceResponses.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    constexpr int badRequest = 400;
    constexpr int forbidden = 403;
    constexpr int notFound = 404;
    constexpr int serviceUnavailable = 503;
    constexpr int gatewayTimeout = 504;

    int httpStatusFor(std::string_view reason)
    {
        if (reason == "idempotency_key_required")
            return badRequest;
        if (reason == "unknown_account")
            return forbidden;
        if (reason == "unknown_service")
            return notFound;
        return serviceUnavailable;
    }

} // namespace

RequestMessage::ServiceResponse notRunResponse(std::string_view reason, std::chrono::seconds retryAfter)
{
    RequestMessage::ServiceResponse response;
    response.outcome = state::RequestOutcome::NotRun;
    response.status = httpStatusFor(reason);
    response.reason = reason;
    response.retryAfter = retryAfter;
    return response;
}

RequestMessage::ServiceResponse unknownOutcomeResponse(std::string_view reason)
{
    RequestMessage::ServiceResponse response;
    response.outcome = state::RequestOutcome::Unknown;
    response.status = gatewayTimeout;
    response.reason = reason;
    return response;
}

RequestMessage::ServiceResponse doneResponse(transport::HttpResponse httpResponse)
{
    RequestMessage::ServiceResponse response;
    response.outcome = state::RequestOutcome::Done;
    response.status = httpResponse.status;
    response.contentType = httpResponse.headers["content-type"];
    response.body = std::move(httpResponse.body);
    return response;
}

std::chrono::seconds retryAfterHint(std::chrono::milliseconds estimatedWait)
{
    return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(estimatedWait));
}

std::string_view refusalReason(AdmissionQueue::Verdict verdict)
{
    switch (verdict) {
    case AdmissionQueue::Verdict::Accepted:
        return {};
    case AdmissionQueue::Verdict::QueueFull:
        return "queue_full";
    case AdmissionQueue::Verdict::DeadlineTooClose:
        return "deadline_too_close";
    }
    return {};
}

transport::HttpCall backendCall(
    const RequestMessage::ServiceRequest& request, int attempt, std::chrono::milliseconds remaining)
{
    transport::HttpCall call {
        .method = "POST",
        .headers = {
            { "Request-Id", request.id.value() },
            { "Request-Attempt", std::to_string(attempt) },
            { "Request-Deadline-Ms", std::to_string(remaining.count()) },
            { "Client-Account", request.account.value() },
            { "Content-Type", request.contentType.empty() ? "application/octet-stream" : request.contentType },
        },
        .body = request.body,
        .timeout = remaining,
        .freshConnection = request.nonRepeatable,
    };
    if (!request.idempotencyKey.empty())
        call.headers["Idempotency-Key"] = request.idempotencyKey;
    return call;
}

} // namespace lentilsaddle::coordination
