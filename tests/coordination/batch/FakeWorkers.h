/// @file
/// In-memory workers with fault injection, which detect tasks that run twice at the same time. As on the platform, only
/// lists of runs state the incarnation, and the clock of a worker starts at zero with each incarnation.
#pragma once

#include "coordination/batch/WorkerHooks.h"
#include "transport/EventLoop.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Shared by the tasks of one test. Tasks run until finish() is called.
class FakeWorkers {
public:
    /// A longer lease is shortened to this.
    static constexpr std::chrono::milliseconds longestLease { 2'000 };

    WorkerHooks hooksFor(transport::EventLoop& loop)
    {
        return {
            .start
            = [this, &loop](const state::batch::BatchWorker& worker, const StartRequest& request,
                  std::chrono::milliseconds timeout,
                  const std::function<void(WorkerCallResult)>& reply) { start(loop, worker, request, timeout, reply); },
            .stop = [this, &loop](const state::batch::BatchWorker& worker, const StopRequest& request,
                        std::chrono::milliseconds,
                        const std::function<void(WorkerCallResult)>& reply) { stop(loop, worker, request, reply); },
            .observe =
                [this, &loop](const state::batch::BatchWorker& worker, const ObserveRequest& request,
                    std::chrono::milliseconds timeout, const std::function<void(Observation)>& reply) {
                    countObservation();
                    observe(loop, worker, request, incarnationOf(worker), request.wait, timeout, reply);
                },
        };
    }

    /// The next start request to any worker has no response and takes effect only after the delay.
    void delayNextStart(std::chrono::milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        m_nextStartDelay = delay;
    }

    /// The next start request to any worker is executed without a response, and the one after it is not delivered.
    void loseNextStart()
    {
        std::lock_guard lock(m_mutex);
        m_loseNextStart = true;
    }

    /// The next start request to any worker is executed, and its response does not say so.
    void executeNextStartUnconfirmed()
    {
        std::lock_guard lock(m_mutex);
        m_executeNextStartUnconfirmed = true;
    }

    /// Responses of an unhealthy worker. Requests that have one are not executed.
    struct Refusals {
        std::optional<WorkerCallResult::Status> start;
        std::optional<WorkerCallResult::Status> stop;
        std::optional<WorkerCallResult::Status> observation;
        /// Observe requests extend the lease, and their responses are lost.
        bool loseObservations = false;
    };

    /// Makes a worker unhealthy until the next call. Its tasks keep running until their lease expires.
    void refuse(const std::string& worker, const Refusals& refusals)
    {
        std::lock_guard lock(m_mutex);
        expireLeases();
        m_refusals[worker] = refusals;
    }

    /// @return stop requests that unhealthy workers have refused.
    int refusedStops()
    {
        std::lock_guard lock(m_mutex);
        return m_refusedStops;
    }

    /// The next stop request to any worker is executed, and its response arrives after the delay.
    void delayNextStopResponse(std::chrono::milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        m_nextStopResponseDelay = delay;
    }

    /// The response to the next observe request to any worker arrives after the delay.
    void delayNextObservationResponse(std::chrono::milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        m_nextObservationDelay = delay;
    }

    /// @return whether the response to an observe request still has to be delayed.
    bool observationDelayPending()
    {
        std::lock_guard lock(m_mutex);
        return m_nextObservationDelay.count() > 0;
    }

    /// @return whether the leader has received a list of the run that a worker now has of a task.
    bool runListed(const std::string& worker, const std::string& task)
    {
        std::lock_guard lock(m_mutex);
        const auto& running = m_workers[worker].running;
        auto found = running.find(task);
        return found != running.end() && m_listedRuns.contains({ task, found->second });
    }

    /// The next observe request to any worker that extends the lease has no response, and is executed only after the
    /// delay, by whichever incarnation the worker has then.
    void delayNextRenewal(std::chrono::milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        m_nextRenewalDelay = delay;
    }

    /// The next observe request to any worker that extends the lease has no response, and is executed by the worker's
    /// next incarnation as soon as it starts.
    void delayNextRenewalUntilRestart()
    {
        std::lock_guard lock(m_mutex);
        m_delayRenewalUntilRestart = true;
    }

    /// @return whether a renewal waits for the restart of its worker.
    bool renewalWaitsForRestart()
    {
        std::lock_guard lock(m_mutex);
        return !m_renewalsAtRestart.empty();
    }

    /// @return whether a renewal still has to be delayed.
    bool renewalDelayPending()
    {
        std::lock_guard lock(m_mutex);
        return m_nextRenewalDelay.count() > 0;
    }

    /// While set, stop requests are neither executed nor responded to.
    void dropStops(bool drop)
    {
        std::lock_guard lock(m_mutex);
        m_dropStops = drop;
    }

    /// While set, start requests are neither executed nor responded to.
    void dropStarts(bool drop)
    {
        std::lock_guard lock(m_mutex);
        m_dropStarts = drop;
    }

    /// @return start requests that were dropped.
    int droppedStarts()
    {
        std::lock_guard lock(m_mutex);
        return m_droppedStarts;
    }

    /// Restarts a worker under its identity: it has no runs and no state, and numbers its ends from 1.
    void restart(const std::string& worker)
    {
        std::lock_guard lock(m_mutex);
        restartAs(m_workers[worker], m_workers[worker].incarnation + 1);
        if (auto renewal = m_renewalsAtRestart.extract(worker))
            executeObservation(worker, renewal.mapped());
    }

    /// Restarts a worker whose time of day was set back before, so that its incarnation is lower than the last one.
    void restartAfterClockStep(const std::string& worker)
    {
        std::lock_guard lock(m_mutex);
        restartAs(m_workers[worker], m_workers[worker].incarnation - 1);
    }

    /// The next observe request to any worker is answered by another worker, after the delay.
    void answerNextObservationAsAnotherWorker(std::chrono::milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        m_otherWorkersResponseDelay = delay;
    }

    /// @return whether that observe request has arrived.
    bool answeredAsAnotherWorker()
    {
        std::lock_guard lock(m_mutex);
        return m_otherWorkersResponseDelay.count() == 0;
    }

    /// How a worker returns after a crash.
    enum class Return {
        UnderItsIdentity,
        /// Another worker responds at the address.
        AsAnotherWorker,
    };

    /// Each worker that starts the task crashes, refuses connections for some time and then returns.
    void crashOnStart(
        const std::string& task, Return how, std::chrono::milliseconds outage = std::chrono::milliseconds(60))
    {
        std::lock_guard lock(m_mutex);
        m_crashing[task] = { .how = how, .outage = outage };
    }

    /// @return workers that have crashed.
    std::vector<std::string> crashed()
    {
        std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto& [id, worker] : m_workers) {
            if (worker.downUntil.count() > 0)
                result.push_back(id);
        }
        return result;
    }

    /// Makes a worker run a task that no leader of the test has started.
    void run(const std::string& worker, const std::string& task, std::int64_t run)
    {
        std::lock_guard lock(m_mutex);
        Worker& target = m_workers[worker];
        extendLease(target, clockOf(target) + longestLease);
        target.running[task] = run;
        ++m_starts[task];
    }

    /// Makes a worker unreachable. Its tasks keep running until their lease expires.
    void makeUnreachable(const std::string& worker)
    {
        std::lock_guard lock(m_mutex);
        m_workers[worker].unreachable = true;
    }

    /// Makes a worker reachable again.
    void makeReachable(const std::string& worker)
    {
        std::lock_guard lock(m_mutex);
        expireLeases();
        m_workers[worker].unreachable = false;
    }

    /// Ends a running task.
    void finish(const std::string& worker, const std::string& task, EndedTask::Reason reason)
    {
        std::lock_guard lock(m_mutex);
        Worker& target = m_workers[worker];
        auto found = target.running.find(task);
        if (found == target.running.end())
            return;
        end(target, found->first, found->second, reason);
        target.running.erase(found);
    }

    /// @return number of ends that the worker still lists.
    std::size_t listedEnds(const std::string& worker)
    {
        std::lock_guard lock(m_mutex);
        return m_workers[worker].ended.size();
    }

    /// Lists of runs that are sent while this is set show no runs and say that they are incomplete.
    void setListsCut(bool cut)
    {
        std::lock_guard lock(m_mutex);
        m_listsCut = cut;
    }

    /// Resets the count of observations.
    void resetObservations()
    {
        std::lock_guard lock(m_mutex);
        m_observations = 0;
    }

    /// @return observe requests that arrived since the last resetObservations().
    int observations()
    {
        std::lock_guard lock(m_mutex);
        return m_observations;
    }

    /// @return tasks that run, as `WORKER TASK RUN`.
    std::vector<std::string> running()
    {
        std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto& [id, worker] : m_workers) {
            for (const auto& [task, run] : worker.running) {
                std::string line = id;
                line.append(1, ' ').append(task).append(1, ' ').append(std::to_string(run));
                result.push_back(std::move(line));
            }
        }
        return result;
    }

    /// @return number of executed starts of a task.
    int starts(const std::string& task)
    {
        std::lock_guard lock(m_mutex);
        return m_starts[task];
    }

    /// @return whether a task ever ran twice at the same time.
    bool ranTwice()
    {
        std::lock_guard lock(m_mutex);
        return m_ranTwice;
    }

    /// @return remaining lease of a worker's tasks.
    std::chrono::milliseconds remainingLease(const std::string& worker)
    {
        std::lock_guard lock(m_mutex);
        return m_workers[worker].leaseEnd - clockOf(m_workers[worker]);
    }

    /// @return the highest acknowledged end of a worker.
    std::int64_t acknowledged(const std::string& worker)
    {
        std::lock_guard lock(m_mutex);
        return m_workers[worker].acknowledged;
    }

private:
    struct Worker {
        std::uint64_t fencingToken = 0;
        std::map<std::string, std::int64_t> running;
        std::map<std::string, std::int64_t> highestEnded;
        std::vector<EndedTask> ended;
        std::int64_t lastEnd = 0;
        std::int64_t acknowledged = 0;
        WorkerTime leaseEnd { 0 };
        std::int64_t incarnation = 1;
        /// Start of the incarnation, on the clock of the test.
        WorkerTime begin { 0 };
        bool unreachable = false;
        /// Connections are refused until then.
        WorkerTime downUntil { 0 };
        /// Another worker has the address.
        bool replaced = false;
    };

    struct Crash {
        Return how = Return::UnderItsIdentity;
        std::chrono::milliseconds outage { 0 };
    };

    static WorkerTime steadyNow()
    {
        return std::chrono::duration_cast<WorkerTime>(std::chrono::steady_clock::now().time_since_epoch());
    }

    static void restartAs(Worker& worker, std::int64_t incarnation)
    {
        worker = {};
        worker.incarnation = incarnation;
        worker.begin = steadyNow();
    }

    static WorkerTime clockOf(const Worker& worker) { return steadyNow() - worker.begin; }

    template <typename Result>
    static void respond(transport::EventLoop& loop, const std::function<void(Result)>& reply, const Result& result)
    {
        loop.startTimer(std::chrono::microseconds(0), [reply, result] { reply(result); });
    }

    void end(Worker& worker, const std::string& task, std::int64_t run, EndedTask::Reason reason)
    {
        worker.highestEnded[task] = std::max(worker.highestEnded[task], run);
        worker.ended.push_back({
            .number = ++worker.lastEnd,
            .task = *state::batch::BatchTaskId::parse(task),
            .run = run,
            .reason = reason,
        });
    }

    Refusals refusalsOf(const state::batch::BatchWorker& worker) const
    {
        auto found = m_refusals.find(worker.id.value());
        return found == m_refusals.end() ? Refusals {} : found->second;
    }

    void countObservation()
    {
        std::lock_guard lock(m_mutex);
        ++m_observations;
    }

    static void extendLease(Worker& worker, WorkerTime end)
    {
        worker.leaseEnd = std::max(worker.leaseEnd, std::min(end, clockOf(worker) + longestLease));
    }

    // As on the platform, a request with a lower fencing token has no effect.
    // @return whether it was executed.
    bool executeObservation(const std::string& id, const ObserveRequest& request)
    {
        Worker& worker = m_workers[id];
        if (request.fencingToken < worker.fencingToken)
            return false;
        worker.fencingToken = request.fencingToken;
        if (request.leaseEnd)
            extendLease(worker, *request.leaseEnd);
        worker.acknowledged = std::max(worker.acknowledged, request.acknowledgedEnd);
        std::erase_if(worker.ended, [&](const EndedTask& ended) { return ended.number <= request.acknowledgedEnd; });
        return true;
    }

    // Ends the runs on unreachable and on unhealthy workers whose lease has expired.
    void expireLeases()
    {
        for (auto& [id, worker] : m_workers) {
            if ((worker.unreachable || m_refusals.contains(id)) && clockOf(worker) > worker.leaseEnd)
                worker.running.clear();
        }
    }

    static void crash(Worker& worker, const Crash& crash)
    {
        std::int64_t incarnation = worker.incarnation;
        worker = {};
        worker.incarnation = incarnation + 1;
        worker.begin = steadyNow();
        worker.downUntil = steadyNow() + crash.outage;
        worker.replaced = crash.how == Return::AsAnotherWorker;
    }

    // Responds on behalf of a worker that has crashed, or whose address the caller does not know.
    // @return whether it responded.
    template <typename Result>
    bool respondAfterCrash(transport::EventLoop& loop, const state::batch::BatchWorker& description,
        const Worker& worker, const std::function<void(Result)>& reply, WorkerCallResult::Status downStatus)
    {
        bool down = steadyNow() < worker.downUntil || description.address.empty();
        if (!down && !worker.replaced)
            return false;
        WorkerCallResult result { .status = down ? downStatus : WorkerCallResult::Status::OtherIncarnation };
        if constexpr (std::is_same_v<Result, Observation>)
            respond(loop, reply, Observation { .result = result });
        else
            respond(loop, reply, result);
        return true;
    }

    WorkerCallResult executeStart(const std::string& id, const StartRequest& request)
    {
        Worker& worker = m_workers[id];
        WorkerCallResult result { .status = WorkerCallResult::Status::Done, .clock = clockOf(worker) };
        std::string task = request.task.toString();
        if (request.fencingToken < worker.fencingToken)
            result.status = WorkerCallResult::Status::Fenced;
        else if (worker.highestEnded.contains(task) && request.run <= worker.highestEnded[task])
            result.status = WorkerCallResult::Status::StaleRun;
        else if (request.leaseEnd <= clockOf(worker))
            result.status = WorkerCallResult::Status::LeaseExpired;
        if (result.status != WorkerCallResult::Status::Done)
            return result;
        worker.fencingToken = request.fencingToken;
        if (worker.running.contains(task) && worker.running[task] == request.run)
            return result;
        extendLease(worker, request.leaseEnd);
        expireLeases();
        for (const auto& [other, otherWorker] : m_workers)
            m_ranTwice = m_ranTwice || otherWorker.running.contains(task);
        worker.running[task] = request.run;
        ++m_starts[task];
        if (auto crashing = m_crashing.find(task); crashing != m_crashing.end())
            crash(worker, crashing->second);
        return result;
    }

    void start(transport::EventLoop& loop, const state::batch::BatchWorker& worker, const StartRequest& request,
        std::chrono::milliseconds timeout, const std::function<void(WorkerCallResult)>& reply)
    {
        std::lock_guard lock(m_mutex);
        if (respondAfterCrash(
                loop, worker, m_workers[worker.id.value()], reply, WorkerCallResult::Status::NotDelivered))
            return;
        if (m_workers[worker.id.value()].unreachable || m_dropStarts) {
            m_droppedStarts += m_dropStarts ? 1 : 0;
            loop.startTimer(timeout, [reply] { reply({ .status = WorkerCallResult::Status::Unknown }); });
            return;
        }
        if (std::exchange(m_executeNextStartUnconfirmed, false)) {
            executeStart(worker.id.value(), request);
            respond(loop, reply, WorkerCallResult {});
            return;
        }
        if (auto refused = refusalsOf(worker).start) {
            respond(loop, reply, WorkerCallResult { .status = *refused });
            return;
        }
        if (std::exchange(m_refuseNextStart, false)) {
            respond(loop, reply, WorkerCallResult { .status = WorkerCallResult::Status::NotDelivered });
            return;
        }
        if (std::exchange(m_loseNextStart, false)) {
            m_refuseNextStart = true;
            executeStart(worker.id.value(), request);
            loop.startTimer(timeout, [reply] { reply({ .status = WorkerCallResult::Status::Unknown }); });
            return;
        }
        if (m_nextStartDelay.count() == 0) {
            respond(loop, reply, executeStart(worker.id.value(), request));
            return;
        }
        loop.startTimer(std::exchange(m_nextStartDelay, {}), [this, id = worker.id.value(), request] {
            std::lock_guard innerLock(m_mutex);
            executeStart(id, request);
        });
        loop.startTimer(timeout, [reply] { reply({ .status = WorkerCallResult::Status::Unknown }); });
    }

    void stop(transport::EventLoop& loop, const state::batch::BatchWorker& worker, const StopRequest& request,
        const std::function<void(WorkerCallResult)>& reply)
    {
        std::lock_guard lock(m_mutex);
        Worker& target = m_workers[worker.id.value()];
        if (respondAfterCrash(loop, worker, target, reply, WorkerCallResult::Status::NotDelivered))
            return;
        if (target.unreachable || m_dropStops) {
            loop.startTimer(std::chrono::milliseconds(50), [reply] { reply({}); });
            return;
        }
        if (auto refused = refusalsOf(worker).stop) {
            ++m_refusedStops;
            respond(loop, reply, WorkerCallResult { .status = *refused });
            return;
        }
        std::string task = request.task.toString();
        WorkerCallResult result { .status = WorkerCallResult::Status::Done, .clock = clockOf(target) };
        if (request.fencingToken < target.fencingToken) {
            result.status = WorkerCallResult::Status::Fenced;
        } else if (target.running.contains(task) && target.running[task] == request.run) {
            end(target, task, request.run, EndedTask::Reason::Stopped);
            target.running.erase(task);
        } else {
            target.highestEnded[task] = std::max(target.highestEnded[task], request.run);
        }
        loop.startTimer(std::exchange(m_nextStopResponseDelay, {}), [reply, result] { reply(result); });
    }

    std::int64_t incarnationOf(const state::batch::BatchWorker& worker)
    {
        std::lock_guard lock(m_mutex);
        return m_workers[worker.id.value()].incarnation;
    }

    // A request that waits for an end is lost when the worker restarts.
    void observe(transport::EventLoop& loop, const state::batch::BatchWorker& worker, const ObserveRequest& request,
        std::int64_t incarnation, std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
        const std::function<void(Observation)>& reply)
    {
        std::lock_guard lock(m_mutex);
        Worker& target = m_workers[worker.id.value()];
        if (auto delay = std::exchange(m_otherWorkersResponseDelay, {}); delay.count() > 0) {
            loop.startTimer(
                delay, [reply] { reply({ .result = { .status = WorkerCallResult::Status::OtherIncarnation } }); });
            return;
        }
        if (respondAfterCrash(loop, worker, target, reply, WorkerCallResult::Status::Unknown))
            return;
        if (target.unreachable) {
            loop.startTimer(timeout, [reply] { reply({}); });
            return;
        }
        if (target.incarnation != incarnation) {
            respond(loop, reply, Observation {});
            return;
        }
        if (auto refused = refusalsOf(worker).observation) {
            respond(loop, reply, Observation { .result = { .status = *refused } });
            return;
        }
        if (request.leaseEnd && m_nextRenewalDelay.count() > 0) {
            loop.startTimer(std::exchange(m_nextRenewalDelay, {}), [this, id = worker.id.value(), request] {
                std::lock_guard innerLock(m_mutex);
                executeObservation(id, request);
            });
            loop.startTimer(timeout, [reply] { reply({}); });
            return;
        }
        if (request.leaseEnd && std::exchange(m_delayRenewalUntilRestart, false)) {
            m_renewalsAtRestart[worker.id.value()] = request;
            loop.startTimer(timeout, [reply] { reply({}); });
            return;
        }
        bool executed = executeObservation(worker.id.value(), request);
        if (refusalsOf(worker).loseObservations) {
            loop.startTimer(timeout, [reply] { reply({}); });
            return;
        }
        Observation observation;
        observation.result
            = { .status = WorkerCallResult::Status::Done, .clock = clockOf(target), .incarnation = target.incarnation };
        if (!executed) {
            observation.result.status = WorkerCallResult::Status::Fenced;
            respond(loop, reply, observation);
            return;
        }
        if (target.ended.empty() && wait.count() > 0) {
            std::chrono::milliseconds step { 2 };
            loop.startTimer(
                step, [=, this, &loop] { observe(loop, worker, request, incarnation, wait - step, timeout, reply); });
            return;
        }
        observation.complete = !m_listsCut;
        for (const auto& [task, run] : target.running) {
            if (!m_listsCut)
                observation.running.push_back({ .task = *state::batch::BatchTaskId::parse(task), .run = run });
        }
        observation.ended = target.ended;
        observation.lastEnd = target.lastEnd;
        loop.startTimer(std::exchange(m_nextObservationDelay, {}), [this, reply, observation] {
            reply(observation);
            std::lock_guard innerLock(m_mutex);
            for (const RunningTask& running : observation.running)
                m_listedRuns.insert({ running.task.toString(), running.run });
        });
    }

    std::mutex m_mutex;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, int> m_starts;
    std::map<std::string, Crash> m_crashing;
    std::map<std::string, Refusals> m_refusals;
    int m_refusedStops = 0;
    bool m_executeNextStartUnconfirmed = false;
    std::chrono::milliseconds m_nextStartDelay { 0 };
    std::chrono::milliseconds m_nextStopResponseDelay { 0 };
    std::chrono::milliseconds m_otherWorkersResponseDelay { 0 };
    std::chrono::milliseconds m_nextRenewalDelay { 0 };
    std::chrono::milliseconds m_nextObservationDelay { 0 };
    /// Runs in lists that a leader has received.
    std::set<std::pair<std::string, std::int64_t>> m_listedRuns;
    bool m_delayRenewalUntilRestart = false;
    std::map<std::string, ObserveRequest> m_renewalsAtRestart;
    bool m_ranTwice = false;
    int m_observations = 0;
    bool m_listsCut = false;
    bool m_loseNextStart = false;
    bool m_dropStarts = false;
    bool m_dropStops = false;
    int m_droppedStarts = 0;
    bool m_refuseNextStart = false;
};

} // namespace lentilsaddle::coordination::batch
