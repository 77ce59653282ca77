#include "tests/standin/PlatformTask.h"

#include "tests/standin/JsonHttp.h"

#include <utility>

namespace lentilsaddle::standin {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

    constexpr std::size_t defaultReadMaximum = 1000;

    /// Sends the error response of an outage, or closes the connection.
    /// @return false if there is no outage and the call must be handled.
    bool respondToOutage(LogFaults::Outage outage, const transport::HttpResponder& responder)
    {
        if (outage == LogFaults::Outage::None)
            return false;
        responder(
            outage == LogFaults::Outage::Refuse ? errorResponse(503, "service unavailable") : droppedConnection());
        return true;
    }

    std::uint64_t queryNumber(const transport::HttpRequest& request, const std::string& name, std::uint64_t fallback)
    {
        auto found = request.query.find(name);
        return found == request.query.end() ? fallback : std::stoull(found->second);
    }

} // namespace

PlatformTask::PlatformTask(Listeners listeners, LogStream::Retention retention)
    : StandinTask(std::move(listeners))
    , m_retention(retention)
{
}

PlatformTask::~PlatformTask()
{
    stop();
}

void PlatformTask::onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder)
{
    auto parts = splitPath(request.path);
    if (parts.size() == 1 && (parts[0] == "instances" || parts[0] == "workers"))
        return handleList(listener, parts[0], request, responder);
    if (!parts.empty() && parts[0] == "control")
        return handleControl(request, responder);
    if (parts.size() != 4 || parts[0] != "log" || parts[1] != "streams" || parts[3] != "records")
        return responder(errorResponse(404, "unknown path"));
    if (request.method != "POST" && request.method != "GET")
        return responder(errorResponse(405, "method not allowed"));
    processLogCall(std::make_shared<LogCall>(LogCall {
        .listener = listener,
        .stream = parts[2],
        .request = std::move(request),
        .responder = std::move(responder),
    }));
}

void PlatformTask::handleList(int listener, const std::string& name, const transport::HttpRequest& request,
    const transport::HttpResponder& responder)
{
    auto found = request.query.find("data_centre");
    std::string dataCentre = found == request.query.end() ? "" : found->second;
    if (request.method == "PUT") {
        json list = parseObject(request.body);
        if (name == "workers")
            m_lists.setWorkers(dataCentre, std::move(list));
        else {
            auto lag = millisecondsOr(list, "lag_ms", milliseconds(0));
            m_lists.setInstances({ { "instances", list.at("instances") } }, steady_clock::now() + lag);
        }
        return responder(jsonResponse(200, json::object()));
    }
    if (respondToOutage(m_faults.effect("", listener).listOutage, responder))
        return;
    responder(
        jsonResponse(200, name == "workers" ? m_lists.workers(dataCentre) : m_lists.instances(steady_clock::now())));
}

void PlatformTask::handleControl(const transport::HttpRequest& request, const transport::HttpResponder& responder)
{
    if (request.method == "GET")
        return responder(jsonResponse(200, { { "streams", streamSummaries() } }));
    changeFaults(parseObject(request.body));
    responder(jsonResponse(200, json::object()));
    processWaitingCalls();
}

void PlatformTask::changeFaults(const json& control)
{
    m_faults.change(control);
    if (control.contains("expire_below"))
        m_streams[control.at("stream").get<std::string>()].expireBelow(control["expire_below"].get<std::uint64_t>());
    if (control.contains("retention")) {
        m_retention.records = control["retention"].value("records", m_retention.records);
        m_retention.age = millisecondsOr(control["retention"], "age_ms", m_retention.age);
    }
}

json PlatformTask::streamSummaries() const
{
    json streams = json::object();
    for (const auto& [name, stream] : m_streams)
        streams[name] = stream.summary();
    return streams;
}

void PlatformTask::processLogCall(const LogCallPointer& call)
{
    auto effect = m_faults.effect(call->stream, call->listener);
    if (respondToOutage(effect.outage, call->responder))
        return;
    if (call->isAppend() ? effect.blockAppends : effect.blockReads) {
        m_waitingCalls.push_back(call);
        return;
    }
    if (effect.delay.count() > 0 && !call->delayed) {
        call->delayed = true;
        loop().startTimer(effect.delay, [this, call] { processLogCall(call); });
        return;
    }
    try {
        if (call->isAppend())
            append(*call);
        else
            read(call);
    } catch (const std::exception& error) {
        call->responder(errorResponse(400, error.what()));
    }
}

void PlatformTask::append(LogCall& call)
{
    LogStream& stream = m_streams[call.stream];
    auto records = parseObject(call.request.body).at("records").get<std::vector<std::string>>();
    std::uint64_t first = stream.append(records, steady_clock::now());
    stream.expire(m_retention, steady_clock::now());
    if (m_faults.consumeLostResponse(call.stream, call.listener))
        call.responder(droppedConnection());
    else
        call.responder(jsonResponse(200, { { "first_offset", first } }));
    processWaitingCalls();
}

void PlatformTask::read(const LogCallPointer& call)
{
    LogStream& stream = m_streams[call->stream];
    stream.expire(m_retention, steady_clock::now());
    auto offset = queryNumber(call->request, "offset", 0);
    if (offset < stream.firstOffset()) {
        call->responder(jsonResponse(410,
            { { "error", "expired" }, { "oldest_offset", stream.firstOffset() },
                { "next_offset", stream.nextOffset() } }));
        return;
    }
    milliseconds wait(queryNumber(call->request, "wait_ms", 0));
    bool expired = call->waitUntil && steady_clock::now() >= *call->waitUntil;
    if (offset >= stream.nextOffset() && wait.count() > 0 && !expired)
        return waitForRecords(call, wait);
    loop().cancelTimer(call->timer);
    call->responder(jsonResponse(200, stream.read(offset, queryNumber(call->request, "max", defaultReadMaximum))));
}

void PlatformTask::waitForRecords(const LogCallPointer& call, milliseconds wait)
{
    m_waitingCalls.push_back(call);
    if (call->waitUntil)
        return;
    call->waitUntil = steady_clock::now() + wait;
    call->timer = loop().startTimer(wait, [this, call] {
        *call->waitUntil = steady_clock::now();
        m_waitingCalls.remove(call);
        processLogCall(call);
    });
}

void PlatformTask::processWaitingCalls()
{
    for (const LogCallPointer& call : std::exchange(m_waitingCalls, {}))
        processLogCall(call);
}

} // namespace lentilsaddle::standin
