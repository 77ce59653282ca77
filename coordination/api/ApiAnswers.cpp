#include "coordination/api/ApiAnswers.h"

#include "protocol/ApiCodec.h"
#include "protocol/ApiJob.h"
#include "protocol/ConfigurationCodec.h"

#include <utility>

namespace lentilsaddle::coordination {

using transport::HttpResponse;

HttpResponse jsonAnswer(int status, std::string body)
{
    return { .status = status, .headers = { { "content-type", "application/json" } }, .body = std::move(body) };
}

HttpResponse errorAnswer(int status, const std::string& code, const std::string& field, const std::string& reason)
{
    return jsonAnswer(status, protocol::encodeError(code, field, reason));
}

HttpResponse serviceAnswer(const RequestMessage::ServiceResponse& answer, const std::string& requestId)
{
    HttpResponse response;
    if (answer.outcome == state::RequestOutcome::Done && answer.reason.empty()) {
        response.status = answer.status;
        response.body = answer.body;
        response.headers["content-type"] = answer.contentType.empty() ? "application/octet-stream" : answer.contentType;
    } else {
        response = errorAnswer(
            answer.status, answer.reason, "", "the request is " + std::string(state::toString(answer.outcome)));
    }
    response.headers["request-id"] = requestId;
    response.headers["request-outcome"] = std::string(state::toString(answer.outcome));
    if (answer.retryAfter.count() > 0)
        response.headers["retry-after"] = std::to_string(answer.retryAfter.count());
    return response;
}

HttpResponse jobAnswer(const SchedulerMessage::JobResponse& answer, const std::string& accepted)
{
    using Status = SchedulerMessage::JobResponse::Status;
    switch (answer.status) {
    case Status::Accepted:
        return jsonAnswer(202, protocol::encodeJobResponse(answer.id, accepted, answer.reason));
    case Status::Refused:
        return errorAnswer(answer.field.empty() ? 503 : 422, "refused", answer.field, answer.reason);
    case Status::Conflict:
        return errorAnswer(409, "conflict", answer.field.empty() ? "job_id" : answer.field, answer.reason);
    case Status::NotFound:
        return errorAnswer(404, "not_found", "job_id", "no such job in this data centre");
    case Status::Unknown:
        break;
    }
    return jsonAnswer(504, protocol::encodeJobResponse(answer.id, "unknown", answer.reason));
}

HttpResponse jobView(const std::optional<SchedulerMessage::JobView>& job)
{
    if (!job)
        return errorAnswer(404, "not_found", "job_id", "no such job in this data centre");
    return jsonAnswer(200,
        protocol::encodeJob({
            .specification = job->specification,
            .state = job->state,
            .reason = job->reason,
            .attempts = job->attempts,
            .placements = job->placements,
        }));
}

HttpResponse patchAnswer(const ConfigurationMessage::PatchAnswer& answer, const state::PatchId& id)
{
    using Status = ConfigurationMessage::PatchAnswer::Status;
    switch (answer.status) {
    case Status::Decided:
        return patchOutcome(answer.outcome);
    case Status::NotAppended:
        return errorAnswer(
            503, "log_unavailable", "", "the log service is unavailable; the patch did not come into force");
    case Status::Unknown:
        break;
    }
    state::Record::PatchOutcome unknown {
        .id = id, .accepted = false, .version = 0, .reason = "ask again by patch_id"
    };
    return jsonAnswer(504, protocol::encodePatchOutcome(unknown, "unknown"));
}

HttpResponse patchOutcome(const std::optional<state::Record::PatchOutcome>& outcome)
{
    if (!outcome)
        return errorAnswer(404, "not_found", "patch_id", "no such patch, or its outcome is no longer kept");
    if (outcome->accepted)
        return jsonAnswer(200, protocol::encodePatchOutcome(*outcome, "accepted"));
    return jsonAnswer(409, protocol::encodePatchOutcome(*outcome, "rejected"));
}

HttpResponse configurationView(const ConfigurationMessage::View& view)
{
    if (!view.configuration || !view.ready)
        return errorAnswer(503, "not_ready", "", view.reason);
    return jsonAnswer(200, protocol::encodeConfiguration(*view.configuration));
}

} // namespace lentilsaddle::coordination
