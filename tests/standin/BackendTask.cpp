#include "tests/standin/BackendTask.h"

#include "tests/standin/JsonHttp.h"

#include <functional>

namespace lentilsaddle::standin {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

    std::string header(const transport::HttpRequest& request, const std::string& name)
    {
        auto found = request.headers.find(name);
        return found == request.headers.end() ? "" : found->second;
    }

} // namespace

BackendTask::BackendTask(const Listeners& listeners, Options options)
    : StandinTask(listeners)
    , m_options(options)
    , m_servers(static_cast<std::size_t>(listeners.count))
    , m_journal(listeners.count)
{
}

BackendTask::~BackendTask()
{
    stop();
}

void BackendTask::onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder)
{
    if (request.method == "GET" && request.path == "/journal")
        return responder(jsonResponse(200, m_journal.toJson()));
    if (request.method != "POST")
        return responder(errorResponse(405, "method not allowed"));
    if (request.path == "/control") {
        applyControl(parseObject(request.body));
        return responder(jsonResponse(200, json::object()));
    }
    Server& server = m_servers[static_cast<std::size_t>(listener)];
    if (server.refuseRequests || server.running >= m_options.slots)
        return refuseRequest(listener, responder);
    runRequest(listener, request, responder);
}

void BackendTask::applyControl(const json& body)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (body.contains("server") && body["server"].get<std::size_t>() != i)
            continue;
        Server& server = m_servers[i];
        server.failRequests = body.value("fail", server.failRequests);
        server.dropAfterRun = body.value("drop_after_run", server.dropAfterRun);
        server.refuseRequests = body.value("refuse", server.refuseRequests);
        server.responseDelay = millisecondsOr(body, "answer_delay_ms", server.responseDelay);
        bool draining = body.value("leaving", server.draining);
        if (draining && !server.draining)
            m_journal.recordDraining(static_cast<int>(i), steady_clock::now());
        server.draining = draining;
    }
}

void BackendTask::refuseRequest(int index, const transport::HttpResponder& responder)
{
    m_journal.recordRefusal(index, steady_clock::now());
    transport::HttpResponse response = errorResponse(503, "not started");
    response.headers["Request-Not-Started"] = "true";
    responder(withServerHeaders(m_servers[static_cast<std::size_t>(index)], std::move(response)));
}

void BackendTask::runRequest(
    int index, const transport::HttpRequest& request, const transport::HttpResponder& responder)
{
    Server& server = m_servers[static_cast<std::size_t>(index)];
    ++server.running;
    std::string requestId = header(request, "request-id");
    m_journal.recordRun(index, requestId, header(request, "idempotency-key"), steady_clock::now());
    json plan = json::parse(request.body, nullptr, false);
    auto workTime
        = plan.is_object() ? millisecondsOr(plan, "work_ms", m_options.defaultWorkTime) : m_options.defaultWorkTime;
    workTime += server.responseDelay;
    if (workTime.count() == 0)
        return finishRequest(index, requestId, request.body, responder);
    loop().startTimer(workTime,
        [this, index, requestId, body = request.body, responder] { finishRequest(index, requestId, body, responder); });
}

void BackendTask::finishRequest(
    int index, const std::string& requestId, const std::string& body, const transport::HttpResponder& responder)
{
    Server& server = m_servers[static_cast<std::size_t>(index)];
    --server.running;
    if (server.dropAfterRun)
        return responder(droppedConnection());
    json summary { { "request_id", requestId }, { "bytes", body.size() },
        { "digest", std::to_string(std::hash<std::string> {}(body)) }, { "server", index } };
    responder(withServerHeaders(server, jsonResponse(server.failRequests ? 500 : 200, summary)));
}

transport::HttpResponse BackendTask::withServerHeaders(const Server& server, transport::HttpResponse response) const
{
    response.headers["Runner-Occupancy"] = std::to_string(server.running);
    if (server.draining)
        response.headers["Connection"] = "close";
    return response;
}

} // namespace lentilsaddle::standin
