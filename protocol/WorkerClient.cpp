#include "protocol/WorkerClient.h"

#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"
#include "state/GangShape.h"
#include "transport/HttpClient.h"

#include <limits>
#include <utility>

namespace lentilsaddle::protocol {

using nlohmann::json;
using state::WorkerTask;

namespace {

    constexpr long maximumNumber = std::numeric_limits<long>::max();

    transport::HttpCall makeCall(
        const state::Worker& worker, const char* action, const json& body, std::chrono::milliseconds timeout)
    {
        return {
            .method = "POST",
            .url = "http://" + worker.address + "/workers/" + worker.id.value() + "/" + action,
            .headers = { { "content-type", "application/json" } },
            // By default, dump() throws on text that is not valid UTF-8.
            .body = body.dump(-1, ' ', false, json::error_handler_t::replace),
            .timeout = timeout,
        };
    }

    json leaseBody(const WorkerLease& lease)
    {
        return {
            { "epoch", lease.token.epoch },
            { "sequence", lease.token.sequence },
            { "job", lease.job.value() },
            { "attempt", lease.attempt },
        };
    }

    WorkerTask::State taskState(const std::string& name, const std::string& path)
    {
        if (name == "leased")
            return WorkerTask::State::Leased;
        if (name == "running")
            return WorkerTask::State::Running;
        if (name == "succeeded")
            return WorkerTask::State::Succeeded;
        if (name == "failed")
            return WorkerTask::State::Failed;
        if (name == "lapsed")
            return WorkerTask::State::Lapsed;
        throw ProtocolError(path, "must be leased, running, succeeded, failed or lapsed, got '" + name + "'");
    }

    WorkerTask decodeTask(const json& value)
    {
        JsonReader reader(value, "tasks");
        WorkerTask task {
            .job = state::JobId(reader.string("job")),
            .attempt = static_cast<int>(reader.integer("attempt", 0, std::numeric_limits<int>::max())),
            .token = {
                .epoch = static_cast<std::uint64_t>(reader.integer("epoch", 0, maximumNumber)),
                .sequence = static_cast<std::uint64_t>(reader.integer("sequence", 0, maximumNumber)),
            },
            .state = taskState(reader.string("state"), reader.path("state")),
            .accelerators = {},
            .reason = reader.stringOr("reason", ""),
        };
        if (reader.has("accelerators")) {
            for (const json& index : reader.array("accelerators")) {
                if (!index.is_number_unsigned() || index.get<std::uint64_t>() >= state::maximumAcceleratorsPerTask)
                    throw ProtocolError(reader.path("accelerators"),
                        "must hold integers from 0 to " + std::to_string(state::maximumAcceleratorsPerTask - 1));
                task.accelerators.push_back(index.get<int>());
            }
        }
        return task;
    }

    std::vector<state::JobId> decodeJobs(JsonReader& reader, const char* name)
    {
        std::vector<state::JobId> jobs;
        if (!reader.has(name))
            return jobs;
        for (const json& job : reader.array(name)) {
            if (!job.is_string())
                throw ProtocolError(reader.path(name), "must hold job identifiers");
            jobs.emplace_back(job.get<std::string>());
        }
        return jobs;
    }

    void decodeOk(const std::string& body, WorkerResponse& response)
    {
        json document = JsonReader::parse(body.empty() ? "{}" : body);
        JsonReader reader(document, "");
        response.epoch = static_cast<std::uint64_t>(reader.integerOr("epoch", 0, maximumNumber, 0));
        response.renewed = decodeJobs(reader, "renewed");
        response.lost = decodeJobs(reader, "lost");
        if (reader.has("tasks")) {
            for (const json& task : reader.array("tasks"))
                response.tasks.push_back(decodeTask(task));
        }
        response.status = WorkerResponse::Status::Ok;
    }

    void decodeError(const transport::HttpResponse& httpResponse, WorkerResponse& response)
    {
        // A server error may be returned after the call took effect; only a client error is a refusal.
        if (httpResponse.status < 400 || httpResponse.status >= 500)
            return;
        json document = JsonReader::parse(httpResponse.body);
        JsonReader reader(document, "");
        std::string error = reader.stringOr("error", "");
        response.epoch = static_cast<std::uint64_t>(reader.integerOr("epoch", 0, maximumNumber, 0));
        if (error == "fenced")
            response.status = WorkerResponse::Status::Fenced;
        else if (error == "occupied")
            response.status = WorkerResponse::Status::Occupied;
        else if (error == "no_lease")
            response.status = WorkerResponse::Status::NoLease;
        else
            response.status = WorkerResponse::Status::Refused;
    }

    WorkerResponse decodeResponse(const transport::HttpResult& result)
    {
        WorkerResponse response;
        if (result.failure == transport::HttpFailure::NotSent) {
            response.status = WorkerResponse::Status::Refused;
            return response;
        }
        if (result.failure != transport::HttpFailure::None)
            return response;
        try {
            if (result.response.status == 200)
                decodeOk(result.response.body, response);
            else
                decodeError(result.response, response);
        } catch (const ProtocolError&) {
            // A response that cannot be decoded does not show whether the call took effect.
            return {};
        }
        return response;
    }

} // namespace

WorkerClient::WorkerClient(transport::HttpClient& http, std::chrono::milliseconds timeout)
    : m_http(http)
    , m_timeout(timeout)
{
}

void WorkerClient::send(const transport::HttpCall& call, Callback callback)
{
    m_http.send(call,
        [callback = std::move(callback)](const transport::HttpResult& result) { callback(decodeResponse(result)); });
}

void WorkerClient::fence(const state::Worker& worker, std::uint64_t epoch, Callback callback)
{
    send(makeCall(worker, "fence", { { "epoch", epoch } }, m_timeout), std::move(callback));
}

void WorkerClient::lease(const state::Worker& worker, const WorkerLease& lease, const std::vector<int>& accelerators,
    std::chrono::milliseconds ttl, Callback callback)
{
    json body = leaseBody(lease);
    body["accelerators"] = accelerators;
    body["ttl_ms"] = ttl.count();
    send(makeCall(worker, "lease", body, m_timeout), std::move(callback));
}

void WorkerClient::renew(const state::Worker& worker, std::uint64_t epoch, const std::vector<WorkerLease>& leases,
    std::chrono::milliseconds ttl, Callback callback)
{
    json entries = json::array();
    for (const WorkerLease& lease : leases)
        entries.push_back(
            { { "job", lease.job.value() }, { "attempt", lease.attempt }, { "sequence", lease.token.sequence } });
    json body { { "epoch", epoch }, { "ttl_ms", ttl.count() }, { "leases", std::move(entries) } };
    send(makeCall(worker, "renew", body, m_timeout), std::move(callback));
}

void WorkerClient::start(
    const state::Worker& worker, const WorkerLease& lease, const std::string& payload, Callback callback)
{
    json body = leaseBody(lease);
    body["payload"] = payload;
    send(makeCall(worker, "start", body, m_timeout), std::move(callback));
}

void WorkerClient::checkpoint(
    const state::Worker& worker, const WorkerLease& lease, std::chrono::milliseconds limit, Callback callback)
{
    send(makeCall(worker, "checkpoint", { { "job", lease.job.value() }, { "attempt", lease.attempt } }, limit),
        std::move(callback));
}

void WorkerClient::stop(const state::Worker& worker, const WorkerLease& lease, Callback callback)
{
    send(makeCall(worker, "stop", { { "job", lease.job.value() }, { "attempt", lease.attempt } }, m_timeout),
        std::move(callback));
}

void WorkerClient::release(const state::Worker& worker, const WorkerLease& lease, Callback callback)
{
    send(makeCall(worker, "release", leaseBody(lease), m_timeout), std::move(callback));
}

} // namespace lentilsaddle::protocol
