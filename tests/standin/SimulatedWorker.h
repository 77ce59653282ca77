/// @file
/// One simulated worker: epoch, leases and tasks.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::standin {

/// Enforces epochs and leases by the monotonic time that the caller passes, and keeps a journal of the runs. Uses no
/// sockets.
class SimulatedWorker {
public:
    using Time = std::chrono::steady_clock::time_point;

    struct Options {
        std::string id;
        int accelerators = 8;
    };

    /// Response to a worker call.
    struct Response {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
        /// The response is sent after this time; used for the duration of a checkpoint.
        std::chrono::milliseconds delay { 0 };
    };

    struct Faults {
        /// Each started task ends as failed at once.
        bool failStarts = false;
        bool refuseLeases = false;
    };

    explicit SimulatedWorker(Options options);

    /// Ends tasks whose run time or lease has ended. Must run at nextDeadline(); handle() calls it too.
    void advance(Time now);

    /// @return the next end of a run time or lease; nothing if there is none.
    std::optional<Time> nextDeadline() const;

    /// Handles a worker call (design page, section 9).
    /// @param call last part of the path, such as `lease`.
    /// @throws std::exception if a field is missing or has the wrong type.
    Response handle(const std::string& call, const nlohmann::json& body, Time now);

    Faults& faults() { return m_faults; }

    /// @return the runs: an array of objects with `job`, `attempt`, `worker`, `epoch`, `accelerators`, `start_ms`,
    /// `end_ms` and `reason`.
    nlohmann::json journal() const;

private:
    enum class State {
        Leased,
        Running,
        Succeeded,
        Failed,
        LeaseExpired,
    };
    using TaskKey = std::pair<std::string, int>;
    struct Run {
        Time start;
        std::optional<Time> end;
        std::string reason;
    };
    struct Task {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        State state = State::Leased;
        std::vector<int> accelerators;
        Time leaseEnd;
        bool leaseExpired = false;
        std::optional<Time> runEnd;
        bool fails = false;
        std::chrono::milliseconds checkpointDuration { 0 };
        std::string reason;
        /// Index into the journal; unset before the start.
        std::optional<std::size_t> journalIndex;
    };
    struct JournalEntry {
        TaskKey key;
        std::uint64_t epoch = 0;
        std::vector<int> accelerators;
        Run run;
    };

    Response fence();
    Response lease(const nlohmann::json& body, Time now);
    Response renew(const nlohmann::json& body, Time now);
    Response start(const nlohmann::json& body, Time now);
    Response checkpoint(const nlohmann::json& body);
    Response stopTask(const nlohmann::json& body, Time now);
    Response release(const nlohmann::json& body, Time now);

    Response refusal(const std::string& error) const;
    nlohmann::json tasks() const;
    bool areFree(const std::vector<int>& accelerators) const;
    void beginRun(const TaskKey& key, Task& task, const std::string& payload, Time now);
    void endTask(Task& task, State state, const std::string& reason, Time when);

    Options m_options;
    Faults m_faults;
    std::uint64_t m_epoch = 0;
    std::map<TaskKey, Task> m_tasks;
    std::vector<JournalEntry> m_journal;
};

} // namespace lentilsaddle::standin
