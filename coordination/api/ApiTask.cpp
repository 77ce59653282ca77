#include "coordination/api/ApiTask.h"

#include "coordination/api/ApiResponses.h"
#include "coordination/configuration/ConfigurationMessage.h"
#include "coordination/jobs/SchedulerMessage.h"
#include "coordination/peers/PeerMessage.h"
#include "coordination/requests/RequestMessage.h"
#include "coordination/timeline/TimelineMessage.h"
#include "protocol/ApiCodec.h"
#include "protocol/ApiStatus.h"
#include "protocol/ConfigurationCodec.h"
#include "protocol/ProtocolError.h"
#include "protocol/ServiceRequestCodec.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <sstream>
#include <utility>

namespace lentilsaddle::coordination {

using transport::HttpRequest;
using transport::HttpResponse;

namespace {

    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> parts;
        std::istringstream input(path);
        std::string part;
        while (std::getline(input, part, '/')) {
            if (!part.empty())
                parts.push_back(part);
        }
        return parts;
    }

} // namespace

ApiTask::ApiTask(TaskEnvironment environment, const transport::HttpServerOptions& server, ApiTaskHooks hooks)
    : m_environment(std::move(environment))
    , m_serverOptions(server)
    , m_hooks(std::move(hooks))
    , m_refusals(*m_environment.metrics, "api")
{
    m_serverOptions.budget = std::make_shared<transport::BodyBudget>(
        transport::BodyBudget::Options { .limitBytes = m_serverOptions.requestMemoryBytes });
    m_serverOptions.onRefusal
        = [this](const std::string& reason) { m_refusals.record(reason, std::chrono::steady_clock::now()); };
}

ApiTask::~ApiTask()
{
    stop();
}

void ApiTask::onStart()
{
    m_server = std::make_unique<transport::HttpServer>(
        loop(), m_serverOptions, [this](const HttpRequest& request, const Responder& respond) {
            Responder respondAndClose = [this, respond](HttpResponse response) {
                if (m_draining)
                    response.headers["connection"] = "close";
                respond(std::move(response));
            };
            route(request, respondAndClose);
        });
    transport::writeLog(transport::LogLevel::Info, "api", "listening",
        { { "address", m_serverOptions.address }, { "port", std::to_string(m_server->port()) } });
}

void ApiTask::onStop()
{
    m_server.reset();
}

void ApiTask::onMessage(ApiMessage message)
{
    if (auto* reply = std::get_if<ApiMessage::Reply>(&message.body)) {
        reply->deliver();
        return;
    }
    if (std::holds_alternative<ApiMessage::StartDraining>(message.body)) {
        m_draining = true;
        return;
    }
    auto stop = std::get<ApiMessage::StopListening>(std::move(message.body));
    std::chrono::milliseconds notice = stop.notice;
    loop().startTimer(notice, [this, stop = std::move(stop)] {
        m_server->stopListening();
        stop.onListeningStopped();
        m_server->whenIdle(stop.onIdle);
    });
}

template <typename Response> std::function<void(Response)> ApiTask::onThisThread(std::function<void(Response)> handler)
{
    return [this, handler = std::move(handler)](Response response) {
        post({ .body
            = ApiMessage::Reply { .deliver = [handler, response = std::move(response)] { handler(response); } } });
    };
}

std::string ApiTask::generateId(const char* prefix) const
{
    std::ostringstream id;
    id << prefix << std::hex << m_environment.random() << m_environment.random();
    return id.str();
}

void ApiTask::route(const HttpRequest& request, const Responder& respond)
{
    Path path = splitPath(request.path);
    try {
        if (path.size() == 1 && path[0] == "metrics" && request.method == "GET") {
            m_environment.metrics->setGauge(
                "lentilsaddle_http_request_memory_bytes", static_cast<double>(m_serverOptions.budget->heldBytes()));
            respond({ .status = 200,
                .headers = { { "content-type", "text/plain; version=0.0.4" } },
                .body = m_environment.metrics->render() });
            return;
        }
        if (path.size() < 2 || path[0] != "v1")
            return respond(errorResponse(404, "not_found", "path", "no such resource"));
        if (path[1] == "services" && path.size() == 4 && path[3] == "requests" && request.method == "POST")
            return submitRequest(request, path[2], respond);
        if (path[1] == "jobs")
            return routeJob(request, path, respond);
        if (path[1] == "configuration")
            return routeConfiguration(request, path, respond);
        routeOperations(request, path, respond);
    } catch (const protocol::ProtocolError& error) {
        std::string message = error.what();
        HttpResponse response = errorResponse(400, "invalid", error.field(), message.substr(error.field().size() + 2));
        if (path.size() > 1 && path[1] == "services")
            response.headers["request-outcome"] = "not-run";
        respond(std::move(response));
    }
}

void ApiTask::routeJob(const HttpRequest& request, const Path& path, const Responder& respond)
{
    if (path.size() == 2 && request.method == "POST")
        return submitJob(request, respond);
    if (path.size() == 3 && request.method == "GET")
        return queryJob(path[2], respond);
    if (path.size() == 3 && request.method == "DELETE")
        return cancelJob(path[2], respond);
    respond(errorResponse(405, "method_not_allowed", "method", "not supported by this resource"));
}

void ApiTask::routeConfiguration(const HttpRequest& request, const Path& path, const Responder& respond)
{
    if (path.size() == 2 && request.method == "GET")
        return queryConfiguration(respond);
    if (path.size() == 3 && path[2] == "patches" && request.method == "POST")
        return submitPatch(request, respond);
    if (path.size() == 4 && path[2] == "patches" && request.method == "GET")
        return queryPatch(path[3], respond);
    respond(errorResponse(405, "method_not_allowed", "method", "not supported by this resource"));
}

void ApiTask::routeOperations(const HttpRequest& request, const Path& path, const Responder& respond)
{
    if (path.size() != 2)
        return respond(errorResponse(404, "not_found", "path", "no such resource"));
    if (path[1] == "status" && request.method == "GET")
        return reportStatus(respond);
    if (path[1] == "ready" && request.method == "GET")
        return reportReadiness(respond);
    if (path[1] == "timeline" && request.method == "GET")
        return readTimeline(request, respond);
    if (path[1] == "drain" && request.method == "POST") {
        m_hooks.startDrain();
        return respond(jsonResponse(202, R"({"status":"draining"})"));
    }
    respond(errorResponse(404, "not_found", "path", "no such resource"));
}

void ApiTask::submitRequest(const HttpRequest& request, const std::string& service, const Responder& respond)
{
    protocol::ServiceRequestHeaders caller = protocol::decodeServiceRequestHeaders(request.headers);
    std::string id = caller.requestId.empty() ? generateId("r-") : caller.requestId;
    RequestMessage::ServiceRequest serviceRequest {
        .id = state::RequestId(id),
        .service = state::ServiceId(service),
        .account = state::AccountId(caller.account),
        .idempotencyKey = caller.idempotencyKey,
        .nonRepeatable = caller.nonRepeatable,
        .timeout = caller.timeout,
        .contentType = caller.contentType,
        .body = request.body,
    };
    m_hooks.postRequest({ .body = RequestMessage::Submit {
                              .request = std::move(serviceRequest),
                              .reply = onThisThread<RequestMessage::ServiceResponse>(
                                  [respond, id](const RequestMessage::ServiceResponse& response) {
                                      respond(serviceResponse(response, id));
                                  }),
                          } });
}

void ApiTask::submitJob(const HttpRequest& request, const Responder& respond)
{
    state::JobSpecification job = protocol::decodeJobSubmission(request.body);
    if (job.id.empty())
        job.id = state::JobId(generateId("j-"));
    m_hooks.postScheduler({ .body = SchedulerMessage::Submit {
                                .specification = std::move(job),
                                .reply = onThisThread<SchedulerMessage::JobResponse>(
                                    [respond](const SchedulerMessage::JobResponse& response) {
                                        respond(jobResponse(response, "accepted"));
                                    }),
                            } });
}

void ApiTask::queryJob(const std::string& id, const Responder& respond)
{
    using Response = std::optional<SchedulerMessage::JobView>;
    m_hooks.postScheduler(
        { .body = SchedulerMessage::Query {
              .id = state::JobId(id),
              .reply = onThisThread<Response>([respond](const Response& job) { respond(jobViewResponse(job)); }),
          } });
}

void ApiTask::cancelJob(const std::string& id, const Responder& respond)
{
    m_hooks.postScheduler({ .body = SchedulerMessage::Cancel {
                                .id = state::JobId(id),
                                .reply = onThisThread<SchedulerMessage::JobResponse>(
                                    [respond](const SchedulerMessage::JobResponse& response) {
                                        respond(jobResponse(response, "cancelled"));
                                    }),
                            } });
}

void ApiTask::submitPatch(const HttpRequest& request, const Responder& respond)
{
    state::Record::ConfigurationPatch patch = protocol::decodePatchSubmission(request.body);
    if (patch.id.empty())
        patch.id = state::PatchId(generateId("p-"));
    state::PatchId id = patch.id;
    m_hooks.postConfiguration({ .body = ConfigurationMessage::SubmitPatch {
                                    .patch = std::move(patch),
                                    .reply = onThisThread<ConfigurationMessage::PatchResponse>(
                                        [respond, id](const ConfigurationMessage::PatchResponse& response) {
                                            respond(patchResponse(response, id));
                                        }),
                                } });
}

void ApiTask::queryPatch(const std::string& id, const Responder& respond)
{
    using Response = std::optional<state::Record::PatchOutcome>;
    m_hooks.postConfiguration({ .body = ConfigurationMessage::QueryPatch {
                                    .id = state::PatchId(id),
                                    .reply = onThisThread<Response>(
                                        [respond](const Response& outcome) { respond(patchOutcomeResponse(outcome)); }),
                                } });
}

void ApiTask::queryConfiguration(const Responder& respond)
{
    m_hooks.postConfiguration(
        { .body = ConfigurationMessage::Query {
              .reply = onThisThread<ConfigurationMessage::View>(
                  [respond](const ConfigurationMessage::View& view) { respond(configurationResponse(view)); }),
          } });
}

void ApiTask::readTimeline(const HttpRequest& request, const Responder& respond)
{
    auto valueOf = [&request](const char* name) {
        auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    std::string scope = valueOf("scope");
    if (!scope.empty() && scope != "all" && scope != "local")
        throw protocol::ProtocolError("scope", "must be all or local");
    if (scope == "local") {
        using Response = std::vector<state::TimelineEvent>;
        m_hooks.postTimeline({ .body = TimelineMessage::Read {
                                   .subject = valueOf("id"),
                                   .reply = onThisThread<Response>([respond](const Response& events) {
                                       respond(jsonResponse(200, protocol::encodeTimeline(events, {})));
                                   }),
                               } });
        return;
    }
    using Response = PeerMessage::TimelineResponse;
    m_hooks.postPeer({ .body = PeerMessage::ReadTimeline {
                           .subject = valueOf("id"),
                           .reply = onThisThread<Response>([respond](const Response& response) {
                               respond(jsonResponse(200, protocol::encodeTimeline(response.events, response.missing)));
                           }),
                       } });
}

void ApiTask::reportReadiness(const Responder& respond)
{
    if (m_draining)
        return respond(errorResponse(503, "not_ready", "", "draining"));
    m_hooks.postConfiguration(
        { .body = ConfigurationMessage::Query {
              .reply = onThisThread<ConfigurationMessage::View>([respond](const ConfigurationMessage::View& view) {
                  respond(view.ready ? jsonResponse(200, R"({"status":"ready"})")
                                     : errorResponse(503, "not_ready", "", view.reason));
              }),
          } });
}

void ApiTask::reportStatus(const Responder& respond)
{
    auto status = std::make_shared<protocol::ApiStatus>();
    status->instance = m_environment.instance;
    status->dataCentre = m_environment.dataCentre;
    status->draining = m_draining;
    m_hooks.postConfiguration({ .body = ConfigurationMessage::Query {
                                    .reply = onThisThread<ConfigurationMessage::View>(
                                        [this, status, respond](const ConfigurationMessage::View& view) {
                                            status->ready = view.ready && !m_draining;
                                            status->reason = m_draining ? "draining" : view.reason;
                                            status->configurationVersion
                                                = view.configuration ? view.configuration->version : 0;
                                            collectSchedulerStatus(status, respond);
                                        }),
                                } });
}

void ApiTask::collectSchedulerStatus(const std::shared_ptr<protocol::ApiStatus>& status, const Responder& respond)
{
    m_hooks.postScheduler({ .body = SchedulerMessage::Status {
                                .reply = onThisThread<SchedulerMessage::StatusView>(
                                    [this, status, respond](const SchedulerMessage::StatusView& view) {
                                        status->scheduler = view.scheduler;
                                        status->schedulerEpoch = view.epoch;
                                        status->queuedJobs = view.queued;
                                        status->runningJobs = view.running;
                                        status->accelerators = view.accelerators;
                                        status->freeAccelerators = view.freeAccelerators;
                                        collectPeerStatus(status, respond);
                                    }),
                            } });
}

void ApiTask::collectPeerStatus(const std::shared_ptr<protocol::ApiStatus>& status, const Responder& respond)
{
    using Response = std::vector<PeerMessage::PeerView>;
    m_hooks.postPeer({ .body = PeerMessage::QueryPeers {
                           .reply = onThisThread<Response>([status, respond](const Response& peers) {
                               for (const PeerMessage::PeerView& peer : peers) {
                                   status->peers.push_back({
                                       .instance = peer.instance,
                                       .dataCentre = peer.dataCentre,
                                       .reachable = peer.reachable,
                                       .configurationVersion = peer.configurationVersion,
                                   });
                               }
                               respond(jsonResponse(200, protocol::encodeStatus(*status)));
                           }),
                       } });
}

} // namespace lentilsaddle::coordination
