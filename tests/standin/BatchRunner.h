/// @file
/// One simulated worker that runs batch tasks.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Runs tasks under a lease and a fencing token. The payload of a start request describes the simulated work: a JSON
/// object with `work_ms`, `gang` (number of members), `gpu` (number of accelerators) and `fail`.
class BatchRunner {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Journal entry of one run, from its start to its end.
    struct Span {
        std::string task;
        std::int64_t run = 0;
        std::string payload;
        /// When the start arrived; it may have been executed later.
        Time arrival {};
        Time begin {};
        Time end = Time::max();
        std::string outcome;
        /// The end was acknowledged while the lease had been valid without interruption since the end.
        bool acknowledged = false;
    };

    struct Response {
        int status = 200;
        nlohmann::json body;
    };

    BatchRunner(std::string id, int accelerators);

    const std::string& id() const { return m_id; }
    std::int64_t incarnation() const { return m_incarnation; }

    /// Simulates a crash and restart: ends all runs and begins a new incarnation, whose clock starts at zero.
    void restart(Time now);

    /// Changes the number of accelerators; runs continue.
    void setAccelerators(int accelerators, Time now);

    /// @param arrival when the command arrived, which is earlier than now if it is executed late.
    Response start(const nlohmann::json& command, Time arrival, Time now);
    Response stop(const nlohmann::json& command, Time now);
    /// Renews the lease, acknowledges reported ends and lists the current runs and the unacknowledged ends.
    Response renewLease(const nlohmann::json& command, Time now);
    /// @return the current runs and the unacknowledged ends; the lease stays as it is.
    Response listRuns(Time now);

    /// Ends the runs whose lease has expired, whose work or stop is complete, or whose gang did not assemble in time.
    /// The work of gangs is left to completeGangWork().
    void advance(Time now);

    /// Ends the members of gangs whose work is complete. Call when the gangs that lost a member have been ended, so
    /// that a gang is done as a whole or not at all.
    void completeGangWork(Time now);

    /// Starts the work of a gang if the number of members present, on all workers, is the size of the gang.
    void startCompleteGang(const std::string& gang, int members, Time now);
    /// Ends the other members of a gang after one member has ended.
    /// @param done whether that member succeeded.
    void endGang(const std::string& gang, bool done, Time now);

    /// @return the number of this worker's members of each gang.
    std::map<std::string, int> gangMemberCounts() const;
    /// @return gangs that lost a member since the last call, and whether the member succeeded.
    std::vector<std::pair<std::string, bool>> takeEndedGangs();

    bool hasUnreportedEnds() const { return m_listedEndCount < m_unacknowledgedEnds.size(); }
    const std::vector<Span>& spans() const { return m_spans; }
    /// @return the number of starts that exceeded the worker's accelerators. A smaller number counts only from the time
    /// by which the scheduler must know it.
    int overloads() const { return m_overloads; }

private:
    struct Run {
        std::size_t span = 0;
        int accelerators = 0;
        std::chrono::milliseconds workDuration { 0 };
        /// Empty for a task without a gang.
        std::string gang;
        int members = 1;
        bool fails = false;
        /// Start of the work; Time::max() while the gang is incomplete.
        Time workStart = Time::max();
        /// End of the run after a stop request; Time::max() without one.
        Time stopTime = Time::max();
    };

    /// End of a run, reported until it is acknowledged.
    struct End {
        std::int64_t number = 0;
        std::size_t span = 0;
        /// The lease has expired since the end. The leader cannot learn of the end in time and may start the task on
        /// another worker.
        bool leaseExpired = false;
    };

    /// Accelerators of the worker from a time on.
    struct Capacity {
        Time since {};
        int accelerators = 0;
    };

    std::int64_t clockMs(Time now) const;
    /// @return the accelerators that a start may rely on that arrived at a time and is executed now.
    int acceleratorsForStart(Time arrival) const;
    Response makeResponse(int status, Time now, const std::string& reason = "") const;
    /// Stores the fencing token of a command.
    /// @return false if the token is older than the newest one seen.
    bool acceptFence(const nlohmann::json& command);
    /// Extends the lease to the end that a command names, at most by the longest lease.
    void extendLease(const nlohmann::json& command, Time now);
    void endRun(std::map<std::string, Run>::iterator run, const std::string& outcome, Time now);

    std::string m_id;
    /// All changes, in the order of time.
    std::vector<Capacity> m_capacities;
    std::int64_t m_incarnation = 0;
    Time m_incarnationStart {};
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_lastEndNumber = 0;
    std::size_t m_listedEndCount = 0;
    /// Current runs by task.
    std::map<std::string, Run> m_runs;
    /// Highest number of a stopped or ended run, by task. A start with this number or a lower one is refused.
    std::map<std::string, std::int64_t> m_highestClosedRuns;
    std::vector<End> m_unacknowledgedEnds;
    std::vector<std::pair<std::string, bool>> m_endedGangs;
    std::vector<Span> m_spans;
    int m_overloads = 0;
};

} // namespace lentilsaddle::standin
