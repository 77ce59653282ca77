#include "tests/standin/KeyedStoreTask.h"

#include "tests/standin/JsonHttp.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::standin {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::HttpRequest;
using transport::HttpResponder;

namespace {

    // Delay after which a late append takes effect.
    constexpr milliseconds lateAppendDelay { 2'500 };
    constexpr std::uint64_t defaultReadKilobytes = 1'024;
    // Longer than any caller's timeout.
    constexpr milliseconds closeDelay { 4'000 };

    std::uint64_t queryNumber(const HttpRequest& request, const std::string& name, std::uint64_t fallback)
    {
        auto found = request.query.find(name);
        return found == request.query.end() ? fallback : std::stoull(found->second);
    }

    std::string queryText(const HttpRequest& request, const std::string& name)
    {
        auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

} // namespace

KeyedStoreTask::KeyedStoreTask(Listeners listeners, std::uint64_t seed)
    : StandinTask(std::move(listeners))
    , m_random(seed)
{
}

KeyedStoreTask::~KeyedStoreTask()
{
    stop();
}

void KeyedStoreTask::onRequest(int port, HttpRequest request, HttpResponder responder)
{
    if (request.path == "/control") {
        applyControl(parseObject(request.body));
        responder(jsonResponse(200, json::object()));
        return;
    }
    if (request.path == "/put") {
        m_topics[queryText(request, "topic")].put(queryText(request, "key"), request.body);
        completeLongPolls();
        responder(jsonResponse(200, json::object()));
        return;
    }
    if (request.path == "/history") {
        responder(
            jsonResponse(200, json(m_topics[queryText(request, "topic")].valueHistory(queryText(request, "key")))));
        return;
    }
    Faults faults = faultsAt(port);
    if (faults.ignoreRequests) {
        closeWithoutResponse(responder);
        return;
    }
    if (faults.refuseRequests) {
        responder(errorResponse(503, "down"));
        return;
    }
    if (faults.delay.count() == 0) {
        handleStoreCall(port, request, responder);
        return;
    }
    loop().startTimer(faults.delay, [this, port, request = std::move(request), responder = std::move(responder)] {
        handleStoreCall(port, request, responder);
    });
}

void KeyedStoreTask::applyControl(const json& body)
{
    if (body.contains("end")) {
        m_faults.erase(body.at("end").get<std::string>());
        return;
    }
    if (!body.contains("begin"))
        m_faults.clear();
    m_faults[body.value("begin", "")] = parseFaults(body);
    if (!body.value("forget", false))
        return;
    for (auto& [name, topic] : m_topics)
        topic.discardRecords();
}

KeyedStoreTask::Faults KeyedStoreTask::parseFaults(const json& body)
{
    return {
        .refuseRequests = body.value("refuse", false),
        .ignoreRequests = body.value("silent", false),
        .lateAppendShare = body.value("late", 0.0),
        .lostResponseShare = body.value("lose", 0.0),
        .delay = millisecondsOr(body, "delay_ms", milliseconds(0)),
        .cutThenRefuse = body.value("cut_then_refuse", false),
        .ports = body.value("ports", std::set<int>()),
    };
}

KeyedStoreTask::Faults KeyedStoreTask::faultsAt(int port) const
{
    Faults combined;
    for (const auto& [name, faults] : m_faults) {
        if (!faults.ports.empty() && !faults.ports.contains(port))
            continue;
        bool wasCut = faults.cutPorts.contains(port);
        combined.refuseRequests = combined.refuseRequests || faults.refuseRequests || wasCut;
        combined.ignoreRequests = combined.ignoreRequests || faults.ignoreRequests;
        combined.cutThenRefuse = combined.cutThenRefuse || (faults.cutThenRefuse && !wasCut);
        combined.lateAppendShare = std::max(combined.lateAppendShare, faults.lateAppendShare);
        combined.lostResponseShare = std::max(combined.lostResponseShare, faults.lostResponseShare);
        combined.delay = std::max(combined.delay, faults.delay);
    }
    return combined;
}

void KeyedStoreTask::recordCut(int port)
{
    for (auto& [name, faults] : m_faults) {
        if (faults.cutThenRefuse && (faults.ports.empty() || faults.ports.contains(port)))
            faults.cutPorts.insert(port);
    }
}

void KeyedStoreTask::handleStoreCall(int port, const HttpRequest& request, const HttpResponder& responder)
{
    if (request.path == "/-/log-append")
        append(port, request, responder);
    else if (request.path == "/-/log-read")
        read(port, request, responder);
    else if (request.path == "/-/log-newest")
        responder(jsonResponse(200, m_topics[queryText(request, "topic")].newestByKey(queryText(request, "after"))));
    else
        responder(errorResponse(404, "unknown path"));
}

void KeyedStoreTask::append(int port, const HttpRequest& request, const HttpResponder& responder)
{
    KeyedLog::AppendRequest call {
        .body = request.body,
        .producer = queryText(request, "producer"),
        .epoch = queryNumber(request, "epoch", 0),
        .sequence = queryNumber(request, "seq", 0),
    };
    if (request.query.contains("at"))
        call.expectedEnd = queryNumber(request, "at", 0);
    std::string topic = queryText(request, "topic");
    Faults faults = faultsAt(port);
    if (drawFault(faults.lateAppendShare)) {
        loop().startTimer(lateAppendDelay, [this, topic, call] {
            m_topics[topic].append(call);
            completeLongPolls();
        });
        closeWithoutResponse(responder);
        return;
    }
    KeyedLog::Response response = m_topics[topic].append(call);
    completeLongPolls();
    bool responseIsLost = drawFault(faults.lostResponseShare);
    if (faults.cutThenRefuse) {
        recordCut(port);
        responder(droppedConnection());
    } else if (responseIsLost)
        closeWithoutResponse(responder);
    else
        responder(jsonResponse(response.status, response.body));
}

void KeyedStoreTask::closeWithoutResponse(const HttpResponder& responder)
{
    loop().startTimer(closeDelay, [responder] { responder(droppedConnection()); });
}

void KeyedStoreTask::read(int port, const HttpRequest& request, const HttpResponder& responder)
{
    std::string topic = queryText(request, "topic");
    KeyedLog& log = m_topics[topic];
    std::uint64_t from = queryNumber(request, "from", 0);
    if (from < log.firstOffset()) {
        responder(jsonResponse(410, { { "first_offset", log.firstOffset() } }));
        return;
    }
    milliseconds wait(queryNumber(request, "wait_ms", 0));
    std::size_t maximumBytes = queryNumber(request, "max_kb", defaultReadKilobytes) * 1'024;
    if (from < log.endOffset() || wait.count() == 0) {
        responder({ .status = 200, .body = log.read(from, maximumBytes) });
        return;
    }
    m_longPolls.push_back(
        { .topic = topic, .from = from, .maximumBytes = maximumBytes, .port = port, .responder = responder });
    auto poll = std::prev(m_longPolls.end());
    poll->timer = loop().startTimer(wait, [this, poll] {
        poll->responder({ .status = 200, .body = m_topics[poll->topic].read(poll->from, poll->maximumBytes) });
        m_longPolls.erase(poll);
    });
}

void KeyedStoreTask::completeLongPolls()
{
    for (auto poll = m_longPolls.begin(); poll != m_longPolls.end();) {
        KeyedLog& log = m_topics[poll->topic];
        if (poll->from >= log.endOffset() || faultsAt(poll->port).ignoreRequests) {
            ++poll;
            continue;
        }
        loop().cancelTimer(poll->timer);
        poll->responder({ .status = 200, .body = log.read(poll->from, poll->maximumBytes) });
        poll = m_longPolls.erase(poll);
    }
}

} // namespace lentilsaddle::standin
