/// @file
/// HTTP responses for the answers of the tasks.
#pragma once

#include "coordination/configuration/ConfigurationMessage.h"
#include "coordination/jobs/SchedulerMessage.h"
#include "coordination/requests/RequestMessage.h"
#include "transport/HttpMessage.h"

#include <optional>
#include <string>

namespace lentilsaddle::coordination {

transport::HttpResponse jsonAnswer(int status, std::string body);

/// @param code machine-readable reason.
/// @param field offending field; may be empty.
transport::HttpResponse errorAnswer(
    int status, const std::string& code, const std::string& field, const std::string& reason);

/// @param requestId value of the `Request-Id` header.
transport::HttpResponse serviceAnswer(const RequestMessage::ServiceResponse& answer, const std::string& requestId);

/// @param accepted word for an accepted operation: `accepted` or `cancelled`.
transport::HttpResponse jobAnswer(const SchedulerMessage::JobResponse& answer, const std::string& accepted);

transport::HttpResponse jobView(const std::optional<SchedulerMessage::JobView>& job);
transport::HttpResponse patchAnswer(const ConfigurationMessage::PatchAnswer& answer, const state::PatchId& id);
transport::HttpResponse patchOutcome(const std::optional<state::Record::PatchOutcome>& outcome);
transport::HttpResponse configurationView(const ConfigurationMessage::View& view);

} // namespace lentilsaddle::coordination
