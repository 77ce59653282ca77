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
        control(parseObject(request.body));
        return responder(jsonResponse(200, json::object()));
    }
    Server& server = m_servers[static_cast<std::size_t>(listener)];
    if (server.refuse || server.running >= m_options.slots)
        return refuse(listener, responder);
    run(listener, request, responder);
}

void BackendTask::control(const json& body)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (body.contains("server") && body["server"].get<std::size_t>() != i)
            continue;
        Server& server = m_servers[i];
        server.fail = body.value("fail", server.fail);
        server.dropAfterRun = body.value("drop_after_run", server.dropAfterRun);
        server.refuse = body.value("refuse", server.refuse);
        server.answerDelay = millisecondsOr(body, "answer_delay_ms", server.answerDelay);
        bool leaving = body.value("leaving", server.leaving);
        if (leaving && !server.leaving)
            m_journal.recordLeaving(static_cast<int>(i), steady_clock::now());
        server.leaving = leaving;
    }
}

void BackendTask::refuse(int index, const transport::HttpResponder& responder)
{
    m_journal.recordRefusal(index, steady_clock::now());
    transport::HttpResponse response = errorResponse(503, "not started");
    response.headers["Request-Not-Started"] = "true";
    responder(withServerHeaders(m_servers[static_cast<std::size_t>(index)], std::move(response)));
}

void BackendTask::run(int index, const transport::HttpRequest& request, const transport::HttpResponder& responder)
{
    Server& server = m_servers[static_cast<std::size_t>(index)];
    ++server.running;
    std::string requestId = header(request, "request-id");
    m_journal.recordRun(index, requestId, header(request, "idempotency-key"), steady_clock::now());
    json plan = json::parse(request.body, nullptr, false);
    auto work = plan.is_object() ? millisecondsOr(plan, "work_ms", m_options.work) : m_options.work;
    work += server.answerDelay;
    if (work.count() == 0)
        return finish(index, requestId, request.body, responder);
    loop().startTimer(
        work, [this, index, requestId, body = request.body, responder] { finish(index, requestId, body, responder); });
}

void BackendTask::finish(
    int index, const std::string& requestId, const std::string& body, const transport::HttpResponder& responder)
{
    Server& server = m_servers[static_cast<std::size_t>(index)];
    --server.running;
    if (server.dropAfterRun)
        return responder(droppedConnection());
    json answer { { "request_id", requestId }, { "bytes", body.size() },
        { "digest", std::to_string(std::hash<std::string> {}(body)) }, { "server", index } };
    responder(withServerHeaders(server, jsonResponse(server.fail ? 500 : 200, answer)));
}

transport::HttpResponse BackendTask::withServerHeaders(const Server& server, transport::HttpResponse response) const
{
    response.headers["Runner-Occupancy"] = std::to_string(server.running);
    if (server.leaving)
        response.headers["Connection"] = "close";
    return response;
}

} // namespace lentilsaddle::standin
