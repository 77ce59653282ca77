/// @file
/// Messages to the caller and to the backend server.
#pragma once

#include "coordination/decisions/AdmissionQueue.h"
#include "coordination/requests/RequestMessage.h"
#include "transport/HttpClient.h"

#include <chrono>
#include <string_view>

namespace lentilsaddle::coordination {

/// @return an answer that tells the caller that the request did not run, with the status that suits the reason.
RequestMessage::ServiceResponse notRunAnswer(
    std::string_view reason, std::chrono::seconds retryAfter = std::chrono::seconds(0));

/// @return an answer that tells the caller that the request may have run.
RequestMessage::ServiceResponse unknownAnswer(std::string_view reason);

/// @return the backend server's answer.
RequestMessage::ServiceResponse doneAnswer(transport::HttpResponse response);

/// @return when the caller may try again: the estimated wait, at least one second.
std::chrono::seconds retryAfter(std::chrono::milliseconds estimatedWait);

/// @return the reason for refusing a request; empty if it was accepted.
std::string_view refusalReason(AdmissionQueue::Verdict verdict);

/// @param remaining time that the caller still waits.
/// @return the call of one hand-over, without its URL.
transport::HttpCall backendCall(
    const RequestMessage::ServiceRequest& request, int attempt, std::chrono::milliseconds remaining);

} // namespace lentilsaddle::coordination
