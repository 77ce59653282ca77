#include "tests/standin/KeyedStoreTask.h"

#include "tests/standin/JsonHttp.h"

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

void KeyedStoreTask::onRequest(int, HttpRequest request, HttpResponder responder)
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
    if (m_faults.ignoreRequests) {
        closeWithoutResponse(responder);
        return;
    }
    if (m_faults.refuseRequests) {
        responder(errorResponse(503, "down"));
        return;
    }
    if (m_faults.delay.count() == 0) {
        handleStoreCall(request, responder);
        return;
    }
    loop().startTimer(m_faults.delay, [this, request = std::move(request), responder = std::move(responder)] {
        handleStoreCall(request, responder);
    });
}

void KeyedStoreTask::applyControl(const json& body)
{
    m_faults = {
        .refuseRequests = body.value("refuse", false),
        .ignoreRequests = body.value("silent", false),
        .lateAppendShare = body.value("late", 0.0),
        .lostResponseShare = body.value("lose", 0.0),
        .delay = millisecondsOr(body, "delay_ms", milliseconds(0)),
    };
    if (!body.value("forget", false))
        return;
    for (auto& [name, topic] : m_topics)
        topic.discardRecords();
}

void KeyedStoreTask::handleStoreCall(const HttpRequest& request, const HttpResponder& responder)
{
    if (request.path == "/-/log-append")
        append(request, responder);
    else if (request.path == "/-/log-read")
        read(request, responder);
    else if (request.path == "/-/log-newest")
        responder(jsonResponse(200, m_topics[queryText(request, "topic")].newestByKey(queryText(request, "after"))));
    else
        responder(errorResponse(404, "unknown path"));
}

void KeyedStoreTask::append(const HttpRequest& request, const HttpResponder& responder)
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
    if (drawFault(m_faults.lateAppendShare)) {
        loop().startTimer(lateAppendDelay, [this, topic, call] {
            m_topics[topic].append(call);
            completeLongPolls();
        });
        closeWithoutResponse(responder);
        return;
    }
    KeyedLog::Response response = m_topics[topic].append(call);
    completeLongPolls();
    if (drawFault(m_faults.lostResponseShare))
        closeWithoutResponse(responder);
    else
        responder(jsonResponse(response.status, response.body));
}

void KeyedStoreTask::closeWithoutResponse(const HttpResponder& responder)
{
    loop().startTimer(closeDelay, [responder] { responder(droppedConnection()); });
}

void KeyedStoreTask::read(const HttpRequest& request, const HttpResponder& responder)
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
    m_longPolls.push_back({ .topic = topic, .from = from, .maximumBytes = maximumBytes, .responder = responder });
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
        if (poll->from >= log.endOffset() || m_faults.ignoreRequests) {
            ++poll;
            continue;
        }
        loop().cancelTimer(poll->timer);
        poll->responder({ .status = 200, .body = log.read(poll->from, poll->maximumBytes) });
        poll = m_longPolls.erase(poll);
    }
}

} // namespace lentilsaddle::standin
