#include "coordination/api/ApiResponses.h"

#include "protocol/ApiCodec.h"
#include "protocol/ApiJob.h"
#include "protocol/ConfigurationCodec.h"

#include <utility>

namespace lentilsaddle::coordination {

using transport::HttpResponse;

HttpResponse jsonResponse(int status, std::string body)
{
    return { .status = status, .headers = { { "content-type", "application/json" } }, .body = std::move(body) };
}

HttpResponse errorResponse(int status, const std::string& code, const std::string& field, const std::string& reason)
{
    return jsonResponse(status, protocol::encodeError(code, field, reason));
}

HttpResponse serviceResponse(const RequestMessage::ServiceResponse& result, const std::string& requestId)
{
    HttpResponse response;
    if (result.outcome == state::RequestOutcome::Done && result.reason.empty()) {
        response.status = result.status;
        response.body = result.body;
        response.headers["content-type"] = result.contentType.empty() ? "application/octet-stream" : result.contentType;
    } else {
        response = errorResponse(
            result.status, result.reason, "", "the request is " + std::string(state::toString(result.outcome)));
    }
    response.headers["request-id"] = requestId;
    response.headers["request-outcome"] = std::string(state::toString(result.outcome));
    if (result.retryAfter.count() > 0)
        response.headers["retry-after"] = std::to_string(result.retryAfter.count());
    return response;
}

HttpResponse jobResponse(const SchedulerMessage::JobResponse& result, const std::string& acceptedStatus)
{
    using Status = SchedulerMessage::JobResponse::Status;
    switch (result.status) {
    case Status::Accepted:
        return jsonResponse(202, protocol::encodeJobResponse(result.id, acceptedStatus, result.reason));
    case Status::Refused:
        return errorResponse(result.field.empty() ? 503 : 422, "refused", result.field, result.reason);
    case Status::Conflict:
        return errorResponse(409, "conflict", result.field.empty() ? "job_id" : result.field, result.reason);
    case Status::NotFound:
        return errorResponse(404, "not_found", "job_id", "no such job in this data centre");
    case Status::Unknown:
        break;
    }
    return jsonResponse(504, protocol::encodeJobResponse(result.id, "unknown", result.reason));
}

HttpResponse jobViewResponse(const std::optional<SchedulerMessage::JobView>& job)
{
    if (!job)
        return errorResponse(404, "not_found", "job_id", "no such job in this data centre");
    return jsonResponse(200,
        protocol::encodeJob({
            .specification = job->specification,
            .state = job->state,
            .reason = job->reason,
            .attempts = job->attempts,
            .placements = job->placements,
        }));
}

HttpResponse patchResponse(const ConfigurationMessage::PatchResponse& result, const state::PatchId& id)
{
    using Status = ConfigurationMessage::PatchResponse::Status;
    switch (result.status) {
    case Status::Decided:
        return patchOutcomeResponse(result.outcome);
    case Status::NotAppended:
        return errorResponse(
            503, "log_unavailable", "", "the log service is unavailable; the patch did not come into force");
    case Status::Unknown:
        break;
    }
    state::Record::PatchOutcome unknown {
        .id = id, .accepted = false, .version = 0, .reason = "ask again by patch_id"
    };
    return jsonResponse(504, protocol::encodePatchOutcome(unknown, "unknown"));
}

HttpResponse patchOutcomeResponse(const std::optional<state::Record::PatchOutcome>& outcome)
{
    if (!outcome)
        return errorResponse(404, "not_found", "patch_id", "no such patch, or its outcome is no longer kept");
    if (outcome->accepted)
        return jsonResponse(200, protocol::encodePatchOutcome(*outcome, "accepted"));
    return jsonResponse(409, protocol::encodePatchOutcome(*outcome, "rejected"));
}

HttpResponse configurationResponse(const ConfigurationMessage::View& view)
{
    if (!view.configuration || !view.ready)
        return errorResponse(503, "not_ready", "", view.reason);
    return jsonResponse(200, protocol::encodeConfiguration(*view.configuration));
}

} // namespace lentilsaddle::coordination
