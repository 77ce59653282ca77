/// @file
/// Construction of responses to callers and of calls to backend servers.
#pragma once

#include "coordination/decisions/AdmissionQueue.h"
#include "coordination/requests/RequestMessage.h"
#include "transport/HttpClient.h"

#include <chrono>
#include <string_view>

namespace lentilsaddle::coordination {

/// @return a response with outcome not run and the HTTP status of the reason.
RequestMessage::ServiceResponse notRunResponse(
    std::string_view reason, std::chrono::seconds retryAfter = std::chrono::seconds(0));

/// @return a response with outcome unknown, since the request may have run.
RequestMessage::ServiceResponse unknownOutcomeResponse(std::string_view reason);

/// @return a response with outcome done and the content of the backend server's HTTP response.
RequestMessage::ServiceResponse doneResponse(transport::HttpResponse httpResponse);

/// @return the delay after which the caller may retry: the estimated wait, at least one second.
std::chrono::seconds retryAfterHint(std::chrono::milliseconds estimatedWait);

/// @return the machine-readable reason of a refusal by the admission queue; empty if the request was accepted.
std::string_view refusalReason(AdmissionQueue::Verdict verdict);

/// @param attempt number of the attempt, from 1.
/// @param remaining time until the deadline of the request.
/// @return the HTTP call of one attempt, without its URL.
transport::HttpCall backendCall(
    const RequestMessage::ServiceRequest& request, int attempt, std::chrono::milliseconds remaining);

} // namespace lentilsaddle::coordination
