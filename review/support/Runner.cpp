#include "review/support/Runner.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds advanceInterval { 5 };
    constexpr milliseconds stopDuration { 50 };
    constexpr milliseconds gangTimeout { 3'000 };

    std::string gangOf(const std::string& task)
    {
        return task.substr(0, task.rfind('.'));
    }

} // namespace

Runner::Runner(std::string id, std::uint16_t port, milliseconds longestLease, Log log)
    : m_id(std::move(id))
    , m_log(std::move(log))
    , m_longestLease(longestLease)
    , m_server(port, [this](const ServerRequest& request) { return handle(request); })
{
    beginLifetime();
    m_server.start();
    m_worker = std::thread([this] { work(); });
}

Runner::~Runner()
{
    {
        std::lock_guard lock(m_mutex);
        m_ending = true;
        m_changed.notify_all();
    }
    m_worker.join();
    m_server.stop();
}

void Runner::beginLifetime()
{
    auto wall = std::chrono::system_clock::now().time_since_epoch();
    m_born = std::max(m_born + 1, static_cast<std::int64_t>(duration_cast<milliseconds>(wall).count()));
    m_lifetimeBegin = Clock::now();
    m_fence = 0;
    m_leaseEndMs = 0;
    m_lastEnd = 0;
    m_closed.clear();
    m_ends.clear();
}

std::int64_t Runner::born() const
{
    std::lock_guard lock(m_mutex);
    return m_born;
}

bool Runner::up() const
{
    std::lock_guard lock(m_mutex);
    return m_up && !m_silent;
}

void Runner::setHealth(Health health)
{
    std::lock_guard lock(m_mutex);
    m_health = health;
}

void Runner::crash()
{
    {
        std::lock_guard lock(m_mutex);
        m_up = false;
        while (!m_active.empty())
            endRun(m_active.begin()->first, "crashed");
        m_ends.clear();
        m_changed.notify_all();
    }
    m_server.stop();
}

void Runner::restart()
{
    {
        std::lock_guard lock(m_mutex);
        m_up = true;
        beginLifetime();
    }
    m_server.start();
}

void Runner::loseSilently()
{
    std::lock_guard lock(m_mutex);
    m_silent = true;
    while (!m_active.empty())
        endRun(m_active.begin()->first, "crashed");
    m_changed.notify_all();
}

void Runner::restartAfterSilence()
{
    {
        std::lock_guard lock(m_mutex);
        m_silent = false;
        m_ends.clear();
        beginLifetime();
        m_changed.notify_all();
    }
    m_server.stop();
    m_server.start();
}

std::vector<Runner::Run> Runner::runs() const
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::int64_t Runner::clockMs() const
{
    return duration_cast<milliseconds>(Clock::now() - m_lifetimeBegin).count();
}

ServerResponse Runner::respond(int status, const std::string& reason) const
{
    json body { { "clock_ms", clockMs() } };
    if (!reason.empty())
        body["reason"] = reason;
    return { .status = status, .body = body.dump() };
}

ServerResponse Runner::handle(const ServerRequest& request)
{
    std::unique_lock lock(m_mutex);
    if (m_silent) {
        m_log(m_id + ": receives " + request.path + " while it is down; no effect, no response");
        m_changed.wait(lock, [this] { return m_ending || !m_silent; });
        return { .reset = true };
    }
    if (!m_up)
        return { .reset = true };
    if (request.path == "/health")
        return respond(200);
    auto intended = request.headers.find("expect-instance");
    if (intended != request.headers.end() && intended->second != m_id)
        return { .status = 421 };
    json body = json::parse(request.body);
    advance();
    ServerResponse response = execute(lock, request.path, body);
    if (request.path != "/-/hold")
        m_log(m_id + ": " + request.path + ' ' + body.value("task", "") + " run " + body.value("run", json()).dump()
            + (response.reset ? " -> executed, connection reset" : " -> " + std::to_string(response.status)));
    return response;
}

ServerResponse Runner::execute(std::unique_lock<std::mutex>& lock, const std::string& path, const json& body)
{
    if (path == "/-/run-stop")
        return stop(body);
    if (path == "/-/hold")
        return hold(lock, body);
    if (path != "/-/run-start")
        return { .status = 404 };
    if (m_health != Health::ResetsAndRefuses)
        return start(body);
    if (m_active.contains(body.at("task").get<std::string>()))
        return respond(503);
    start(body);
    return { .reset = true };
}

bool Runner::acceptFence(const json& body)
{
    auto fence = body.value("fence", std::uint64_t { 0 });
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

void Runner::extendLease(const json& body)
{
    if (!body.contains("deadline_ms"))
        return;
    std::int64_t longest = clockMs() + m_longestLease.count();
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(body.at("deadline_ms").get<std::int64_t>(), longest));
}

ServerResponse Runner::start(const json& body)
{
    if (!acceptFence(body))
        return respond(409, "fence");
    if (body.at("deadline_ms").get<std::int64_t>() <= clockMs())
        return respond(409, "late");
    extendLease(body);
    auto task = body.at("task").get<std::string>();
    auto number = body.at("run").get<std::int64_t>();
    if (auto known = m_active.find(task); known != m_active.end() && m_runs[known->second.run].number == number)
        return respond(200);
    if (auto closed = m_closed.find(task); closed != m_closed.end() && number <= closed->second)
        return respond(409, "old");
    json spec = json::parse(body.at("spec").get<std::string>());
    m_active[task] = {
        .run = m_runs.size(),
        .work = milliseconds(spec.value("work_ms", 0)),
        .gangSize = spec.value("gang", 1),
    };
    m_runs.push_back({ .task = task, .number = number, .begin = Clock::now() });
    advance();
    return respond(200);
}

ServerResponse Runner::stop(const json& body)
{
    if (!acceptFence(body))
        return respond(409, "fence");
    auto task = body.at("task").get<std::string>();
    auto number = body.at("run").get<std::int64_t>();
    m_closed[task] = std::max(m_closed[task], number);
    auto active = m_active.find(task);
    if (active != m_active.end() && m_runs[active->second.run].number <= number && !active->second.stopAt)
        active->second.stopAt = Clock::now() + stopDuration;
    return respond(200);
}

ServerResponse Runner::hold(std::unique_lock<std::mutex>& lock, const json& body)
{
    if (!acceptFence(body))
        return respond(409, "fence");
    extendLease(body);
    auto acknowledged = body.value("acked_upto", std::int64_t { 0 });
    std::erase_if(m_ends, [&](const End& end) { return end.number <= acknowledged; });
    std::int64_t born = m_born;
    milliseconds wait(body.value("wait_ms", 0));
    m_changed.wait_for(lock, wait, [&] { return !m_ends.empty() || !m_up || m_silent || m_ending || m_born != born; });
    if (!m_up || m_silent || m_born != born)
        return { .reset = true };
    json list { { "clock_ms", clockMs() }, { "born", m_born }, { "running", json::array() },
        { "ended", json::array() } };
    for (const auto& [task, active] : m_active)
        list["running"].push_back(json::array({ task, m_runs[active.run].number, "", 0, 0 }));
    for (const End& end : m_ends) {
        Run& run = m_runs[end.run];
        if (!run.endListed)
            run.endListed = Clock::now();
        list["ended"].push_back(json::array({ end.number, run.task, run.number, run.outcome, "" }));
    }
    return { .status = 200, .body = list.dump() };
}

void Runner::endRun(const std::string& task, const std::string& outcome)
{
    auto node = m_active.extract(task);
    Run& run = m_runs[node.mapped().run];
    run.end = Clock::now();
    run.outcome = outcome;
    m_closed[task] = std::max(m_closed[task], run.number);
    m_ends.push_back({ .number = ++m_lastEnd, .run = node.mapped().run });
    m_changed.notify_all();
}

void Runner::advance()
{
    bool expired = clockMs() >= m_leaseEndMs;
    Clock::time_point now = Clock::now();
    std::map<std::string, int> members;
    for (const auto& [task, active] : m_active)
        ++members[gangOf(task)];
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, active] : m_active) {
        bool complete = members[gangOf(task)] >= active.gangSize;
        if (!active.workBegin && complete)
            active.workBegin = now;
        if (expired)
            ends.emplace_back(task, "lapsed");
        else if (active.stopAt && now >= *active.stopAt)
            ends.emplace_back(task, "stopped");
        else if (active.workBegin && m_health == Health::FailsRuns)
            ends.emplace_back(task, "failed");
        else if (active.workBegin && now >= *active.workBegin + active.work)
            ends.emplace_back(task, "done");
        else if (!active.workBegin && now >= m_runs[active.run].begin + gangTimeout)
            ends.emplace_back(task, "alone");
        else if (active.workBegin && !complete)
            ends.emplace_back(task, "broken");
    }
    for (const auto& [task, outcome] : ends)
        endRun(task, outcome);
}

void Runner::work()
{
    std::unique_lock lock(m_mutex);
    while (!m_ending) {
        if (m_up && !m_silent)
            advance();
        m_changed.wait_for(lock, advanceInterval, [this] { return m_ending; });
    }
}

} // namespace lentilsaddle::review
