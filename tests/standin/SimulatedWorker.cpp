#include "tests/standin/SimulatedWorker.h"

#include "tests/standin/JsonHttp.h"

#include <algorithm>
#include <stdexcept>

namespace lentilsaddle::standin {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds defaultRunTime { 200 };

    std::pair<std::string, int> keyOf(const json& body)
    {
        return { body.at("job").get<std::string>(), body.at("attempt").get<int>() };
    }

    bool overlaps(const std::vector<int>& left, const std::vector<int>& right)
    {
        return std::any_of(left.begin(), left.end(),
            [&right](int index) { return std::find(right.begin(), right.end(), index) != right.end(); });
    }

} // namespace

SimulatedWorker::SimulatedWorker(Options options)
    : m_options(std::move(options))
{
}

SimulatedWorker::Response SimulatedWorker::handle(const std::string& call, const json& body, Time now)
{
    advance(now);
    if (call == "tasks")
        return { .body = { { "epoch", m_epoch }, { "tasks", tasks() } } };
    if (body.contains("epoch")) {
        auto epoch = body["epoch"].get<std::uint64_t>();
        if (epoch < m_epoch)
            return refusal("fenced");
        m_epoch = epoch;
    }
    if (call == "fence")
        return fence();
    if (call == "lease")
        return lease(body, now);
    if (call == "renew")
        return renew(body, now);
    if (call == "start")
        return start(body, now);
    if (call == "checkpoint")
        return checkpoint(body);
    if (call == "throttle")
        return { .status = m_tasks.contains(keyOf(body)) ? 200 : 409 };
    if (call == "stop")
        return stopTask(body, now);
    if (call == "release")
        return release(body, now);
    return { .status = 404, .body = { { "error", "unknown call" } } };
}

SimulatedWorker::Response SimulatedWorker::refusal(const std::string& error) const
{
    return { .status = 409, .body = { { "error", error }, { "epoch", m_epoch } } };
}

SimulatedWorker::Response SimulatedWorker::fence()
{
    return { .body = { { "epoch", m_epoch }, { "tasks", tasks() } } };
}

SimulatedWorker::Response SimulatedWorker::lease(const json& body, Time now)
{
    auto key = keyOf(body);
    Task task {
        .epoch = body.at("epoch").get<std::uint64_t>(),
        .sequence = body.at("sequence").get<std::uint64_t>(),
        .accelerators = body.at("accelerators").get<std::vector<int>>(),
        .leaseEnd = now + milliseconds(body.at("ttl_ms").get<std::int64_t>()),
    };
    for (int index : task.accelerators) {
        if (index < 0 || index >= m_options.accelerators)
            throw std::invalid_argument("accelerators: index out of range");
    }
    auto found = m_tasks.find(key);
    if (found != m_tasks.end()) {
        Task& held = found->second;
        if (held.epoch != task.epoch || held.sequence != task.sequence)
            return refusal("occupied");
        if (held.leaseExpired)
            return refusal("no_lease");
        // The caller counts the lease from the time at which it sent the repeated call, so the repeat must extend it.
        held.leaseEnd = task.leaseEnd;
        return {};
    }
    if (m_faults.refuseLeases || !areFree(task.accelerators))
        return refusal("occupied");
    m_tasks.emplace(key, std::move(task));
    return {};
}

SimulatedWorker::Response SimulatedWorker::renew(const json& body, Time now)
{
    json renewed = json::array();
    json lost = json::array();
    milliseconds ttl(body.at("ttl_ms").get<std::int64_t>());
    for (const json& lease : body.at("leases")) {
        auto found = m_tasks.find(keyOf(lease));
        bool held = found != m_tasks.end() && !found->second.leaseExpired
            && found->second.sequence == lease.at("sequence").get<std::uint64_t>();
        if (held)
            found->second.leaseEnd = now + ttl;
        (held ? renewed : lost).push_back(lease.at("job"));
    }
    return { .body = { { "renewed", renewed }, { "lost", lost }, { "tasks", tasks() } } };
}

SimulatedWorker::Response SimulatedWorker::start(const json& body, Time now)
{
    auto key = keyOf(body);
    auto found = m_tasks.find(key);
    if (found == m_tasks.end())
        return refusal("no_lease");
    Task& task = found->second;
    bool sameToken = task.epoch == body.at("epoch").get<std::uint64_t>()
        && task.sequence == body.at("sequence").get<std::uint64_t>();
    if (!sameToken || task.state == State::LeaseExpired)
        return refusal("no_lease");
    if (task.journalIndex)
        return {};
    if (task.state != State::Leased)
        return refusal("no_lease");
    beginRun(key, task, body.value("payload", ""), now);
    return {};
}

void SimulatedWorker::beginRun(const TaskKey& key, Task& task, const std::string& payload, Time now)
{
    json plan = json::parse(payload, nullptr, false);
    if (!plan.is_object())
        plan = json::object();
    bool failing = m_faults.failStarts;
    task.state = State::Running;
    task.runEnd = now + (failing ? milliseconds(0) : millisecondsOr(plan, "run_ms", defaultRunTime));
    task.fails = failing || plan.value("fail", false);
    task.checkpointDuration = millisecondsOr(plan, "checkpoint_ms", milliseconds(0));
    task.journalIndex = m_journal.size();
    m_journal.push_back(
        { .key = key, .epoch = task.epoch, .accelerators = task.accelerators, .run = { .start = now, .end = {} } });
}

void SimulatedWorker::endTask(Task& task, State state, const std::string& reason, Time when)
{
    task.state = state;
    task.reason = reason;
    task.runEnd.reset();
    if (!task.journalIndex || m_journal[*task.journalIndex].run.end)
        return;
    m_journal[*task.journalIndex].run.end = when;
    m_journal[*task.journalIndex].run.reason = reason;
}

SimulatedWorker::Response SimulatedWorker::checkpoint(const json& body)
{
    auto found = m_tasks.find(keyOf(body));
    if (found == m_tasks.end())
        return refusal("no_lease");
    return { .delay = found->second.state == State::Running ? found->second.checkpointDuration : milliseconds(0) };
}

SimulatedWorker::Response SimulatedWorker::stopTask(const json& body, Time now)
{
    auto found = m_tasks.find(keyOf(body));
    if (found != m_tasks.end()) {
        // Also ends a task that has not started, so that a start request still in flight has no effect.
        State state = found->second.state;
        if (state == State::Running || state == State::Leased)
            endTask(found->second, State::Failed, "stopped", now);
    }
    return {};
}

SimulatedWorker::Response SimulatedWorker::release(const json& body, Time now)
{
    auto found = m_tasks.find(keyOf(body));
    if (found == m_tasks.end())
        return {};
    if (found->second.sequence != body.at("sequence").get<std::uint64_t>())
        return refusal("no_lease");
    if (found->second.state == State::Running)
        endTask(found->second, State::Failed, "released", now);
    m_tasks.erase(found);
    return {};
}

bool SimulatedWorker::areFree(const std::vector<int>& accelerators) const
{
    return std::none_of(m_tasks.begin(), m_tasks.end(), [&accelerators](const auto& entry) {
        return !entry.second.leaseExpired && overlaps(entry.second.accelerators, accelerators);
    });
}

void SimulatedWorker::advance(Time now)
{
    for (auto& [key, task] : m_tasks) {
        bool runEnds = task.runEnd && *task.runEnd <= std::min(now, task.leaseEnd);
        if (runEnds)
            endTask(
                task, task.fails ? State::Failed : State::Succeeded, task.fails ? "failed" : "succeeded", *task.runEnd);
        if (task.leaseExpired || task.leaseEnd > now)
            continue;
        task.leaseExpired = true;
        if (task.state == State::Running || task.state == State::Leased)
            endTask(task, State::LeaseExpired, "lapsed", task.leaseEnd);
    }
}

std::optional<SimulatedWorker::Time> SimulatedWorker::nextDeadline() const
{
    std::optional<Time> next;
    auto consider = [&next](Time time) { next = next ? std::min(*next, time) : time; };
    for (const auto& [key, task] : m_tasks) {
        if (task.runEnd)
            consider(*task.runEnd);
        if (!task.leaseExpired)
            consider(task.leaseEnd);
    }
    return next;
}

json SimulatedWorker::tasks() const
{
    static const std::map<State, std::string> names {
        { State::Leased, "leased" },
        { State::Running, "running" },
        { State::Succeeded, "succeeded" },
        { State::Failed, "failed" },
        { State::LeaseExpired, "lapsed" },
    };
    json list = json::array();
    for (const auto& [key, task] : m_tasks) {
        list.push_back(
            { { "job", key.first }, { "attempt", key.second }, { "epoch", task.epoch }, { "sequence", task.sequence },
                { "state", names.at(task.state) }, { "accelerators", task.accelerators }, { "reason", task.reason } });
    }
    return list;
}

json SimulatedWorker::journal() const
{
    json list = json::array();
    for (const JournalEntry& entry : m_journal) {
        list.push_back({ { "job", entry.key.first }, { "attempt", entry.key.second }, { "worker", m_options.id },
            { "epoch", entry.epoch }, { "accelerators", entry.accelerators },
            { "start_ms", toJournalTime(entry.run.start) },
            { "end_ms", entry.run.end ? json(toJournalTime(*entry.run.end)) : json() },
            { "reason", entry.run.reason } });
    }
    return list;
}

} // namespace lentilsaddle::standin
