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

/// Enforces epochs and leases by the given monotonic time and keeps a journal of what ran. Knows no sockets.
class SimulatedWorker {
public:
    using Time = std::chrono::steady_clock::time_point;

    struct Options {
        std::string id;
        int accelerators = 8;
    };

    /// Answer to a worker call.
    struct Answer {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
        /// The answer is due after this time, such as a checkpoint's.
        std::chrono::milliseconds delay { 0 };
    };

    struct Faults {
        /// Each started task ends as failed at once.
        bool failStarts = false;
        bool refuseLeases = false;
    };

    explicit SimulatedWorker(Options options);

    /// Ends tasks whose run time or lease is over. Called before each call and at nextChange().
    void advance(Time now);

    /// @return when advance() has something to do next.
    std::optional<Time> nextChange() const;

    /// Handles a call of section 9 of the design page.
    /// @throws std::exception if a field is missing or has the wrong type.
    Answer handle(const std::string& call, const nlohmann::json& body, Time now);

    Faults& faults() { return m_faults; }

    /// @return what ran: an array of objects with `job`, `attempt`, `worker`, `start_ms`, `end_ms` and `reason`.
    nlohmann::json journal() const;

private:
    enum class State {
        Leased,
        Running,
        Succeeded,
        Failed,
        Lapsed,
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
        bool leaseLapsed = false;
        std::optional<Time> runEnd;
        bool fails = false;
        std::chrono::milliseconds checkpoint { 0 };
        std::string reason;
        /// Index into the journal once started.
        std::optional<std::size_t> entry;
    };
    struct JournalEntry {
        TaskKey key;
        std::uint64_t epoch = 0;
        std::vector<int> accelerators;
        Run run;
    };

    Answer fence();
    Answer lease(const nlohmann::json& body, Time now);
    Answer renew(const nlohmann::json& body, Time now);
    Answer start(const nlohmann::json& body, Time now);
    Answer checkpoint(const nlohmann::json& body);
    Answer stopTask(const nlohmann::json& body, Time now);
    Answer release(const nlohmann::json& body, Time now);

    Answer refusal(const std::string& error) const;
    nlohmann::json tasks() const;
    bool isFree(const std::vector<int>& accelerators) const;
    void begin(const TaskKey& key, Task& task, const std::string& payload, Time now);
    void end(Task& task, State state, const std::string& reason, Time when);

    Options m_options;
    Faults m_faults;
    std::uint64_t m_epoch = 0;
    std::map<TaskKey, Task> m_tasks;
    std::vector<JournalEntry> m_journal;
};

} // namespace lentilsaddle::standin
