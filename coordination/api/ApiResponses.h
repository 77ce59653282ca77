/// @file
/// Conversion of the results of other tasks to HTTP responses.
#pragma once

#include "coordination/configuration/ConfigurationMessage.h"
#include "coordination/jobs/SchedulerMessage.h"
#include "coordination/requests/RequestMessage.h"
#include "transport/HttpMessage.h"

#include <optional>
#include <string>

namespace lentilsaddle::coordination {

transport::HttpResponse jsonResponse(int status, std::string body);

/// @param code machine-readable error code.
/// @param field name of the invalid field; may be empty.
transport::HttpResponse errorResponse(
    int status, const std::string& code, const std::string& field, const std::string& reason);

/// @param requestId value of the `Request-Id` header.
transport::HttpResponse serviceResponse(const RequestMessage::ServiceResponse& result, const std::string& requestId);

/// @param acceptedStatus `status` of an accepted operation: `accepted` or `cancelled`.
transport::HttpResponse jobResponse(const SchedulerMessage::JobResponse& result, const std::string& acceptedStatus);

transport::HttpResponse jobViewResponse(const std::optional<SchedulerMessage::JobView>& job);
transport::HttpResponse patchResponse(const ConfigurationMessage::PatchResponse& result, const state::PatchId& id);
transport::HttpResponse patchOutcomeResponse(const std::optional<state::Record::PatchOutcome>& outcome);
transport::HttpResponse configurationResponse(const ConfigurationMessage::View& view);

} // namespace lentilsaddle::coordination
