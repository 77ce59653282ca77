#include "tests/standin/WorkerHostTask.h"

#include "tests/standin/JsonHttp.h"

#include <algorithm>
#include <cstdio>

namespace lentilsaddle::standin {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

WorkerHostTask::WorkerHostTask(Listeners listeners, Options options)
    : StandinTask(std::move(listeners))
    , m_options(std::move(options))
{
    for (int i = 0; i < m_options.workers; ++i)
        addWorker(i);
}

WorkerHostTask::~WorkerHostTask()
{
    stop();
}

void WorkerHostTask::addWorker(int index)
{
    // Padded with zeros, so that the names sort by number.
    char number[16];
    std::snprintf(number, sizeof number, "%04d", index);
    std::string id = m_options.prefix + "-" + number;
    HostedWorker hosted {
        .worker = SimulatedWorker({ .id = id, .accelerators = m_options.accelerators }),
        .rack = m_options.prefix + "-rack-" + std::to_string(index / m_options.workersPerRack),
        .position = index % m_options.workersPerRack,
    };
    m_workers.emplace(id, std::move(hosted));
}

void WorkerHostTask::onRequest(int, transport::HttpRequest request, transport::HttpResponder responder)
{
    auto parts = splitPath(request.path);
    if (parts.size() == 1 && parts[0] == "workers")
        return responder(jsonResponse(200, { { "workers", workerList() } }));
    if (parts.size() == 1 && parts[0] == "journal")
        return responder(jsonResponse(200, journal()));
    if (parts.size() == 1 && parts[0] == "control") {
        applyControl(parseObject(request.body));
        return responder(jsonResponse(200, json::object()));
    }
    if (parts.size() != 3 || parts[0] != "workers")
        return responder(errorResponse(404, "unknown path"));
    auto found = m_workers.find(parts[1]);
    if (found == m_workers.end())
        return responder(errorResponse(404, "unknown_worker"));
    handleCall(found->second, parts[2], request, responder);
}

json WorkerHostTask::workerList() const
{
    std::string address = listeners().address + ":" + std::to_string(listeners().firstPort);
    json list = json::array();
    for (const auto& [id, hosted] : m_workers) {
        list.push_back({ { "id", id }, { "rack", hosted.rack }, { "position", hosted.position },
            { "accelerators", m_options.accelerators }, { "address", address } });
    }
    return list;
}

json WorkerHostTask::journal()
{
    json runs = json::array();
    for (auto& [id, hosted] : m_workers) {
        hosted.worker.advance(steady_clock::now());
        for (json& run : hosted.worker.journal())
            runs.push_back(std::move(run));
    }
    return { { "now_ms", toJournalTime(steady_clock::now()) }, { "runs", runs } };
}

void WorkerHostTask::applyControl(const json& body)
{
    std::string workerId = body.value("worker", "");
    if (!workerId.empty() && !m_workers.contains(workerId))
        throw std::invalid_argument("worker: unknown");
    for (auto& [id, hosted] : m_workers) {
        if (!workerId.empty() && id != workerId)
            continue;
        SimulatedWorker::Faults& faults = hosted.worker.faults();
        faults.failStarts = body.value("fail_starts", faults.failStarts);
        faults.refuseLeases = body.value("refuse_leases", faults.refuseLeases);
        hosted.unreachable = body.value("unreachable", hosted.unreachable);
        hosted.responseDelay = millisecondsOr(body, "answer_delay_ms", hosted.responseDelay);
    }
}

void WorkerHostTask::handleCall(HostedWorker& hosted, const std::string& call, const transport::HttpRequest& request,
    const transport::HttpResponder& responder)
{
    if (hosted.unreachable)
        return responder(droppedConnection());
    SimulatedWorker::Response result = hosted.worker.handle(call, parseObject(request.body), steady_clock::now());
    scheduleAdvance(hosted);
    sendResponse(std::max(result.delay, hosted.responseDelay), jsonResponse(result.status, result.body), responder);
}

void WorkerHostTask::sendResponse(
    milliseconds delay, transport::HttpResponse response, const transport::HttpResponder& responder)
{
    if (delay.count() == 0)
        return responder(std::move(response));
    loop().startTimer(delay, [responder, response = std::move(response)] { responder(response); });
}

void WorkerHostTask::scheduleAdvance(HostedWorker& hosted)
{
    loop().cancelTimer(hosted.timer);
    auto next = hosted.worker.nextDeadline();
    if (!next)
        return;
    auto delay = std::max(*next - steady_clock::now(), steady_clock::duration::zero());
    hosted.timer = loop().startTimer(std::chrono::ceil<std::chrono::microseconds>(delay), [this, &hosted] {
        hosted.worker.advance(steady_clock::now());
        scheduleAdvance(hosted);
    });
}

} // namespace lentilsaddle::standin
