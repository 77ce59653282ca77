/// @file
/// Records that the scheduler must get into the log.
#pragma once

#include "coordination/log/LogMessage.h"
#include "state/Record.h"
#include "state/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lentilsaddle::coordination {

/// Keeps each record until it was read back and appends it again after a failure. Repeats are harmless because replay
/// applies a repeated record without effect.
class RecordOutbox {
public:
    /// Posts an append; its result returns through result().
    using Append = std::function<void(const std::string& key, const state::Record::Body& body)>;

    /// @param append hook that sends a record to the log task.
    /// @param clock monotonic clock.
    RecordOutbox(Append append, state::MonotonicClock clock);

    /// Appends a record unless one with the same key is already waiting.
    void enqueue(const std::string& key, const state::Record::Body& body);

    /// Notes the result of an append.
    void setResult(const std::string& key, LogMessage::AppendStatus status);

    /// The record was read back or is no longer wanted.
    void remove(const std::string& key);

    /// Sends again what failed and is due.
    void resendDue(state::MonotonicTime now);
    /// Makes everything that failed due, because the log became reachable.
    void retryNow();
    std::optional<state::MonotonicTime> nextRetry() const;

    void clear() { m_entries.clear(); }
    bool contains(const std::string& key) const { return m_entries.contains(key); }
    bool empty() const { return m_entries.empty(); }

    /// @return time before the latest confirmed append was sent.
    state::MonotonicTime lastConfirmed() const { return m_lastConfirmed; }
    void updateLastConfirmed(state::MonotonicTime time);

private:
    struct Entry {
        state::Record::Body body;
        state::MonotonicTime sentAt;
        bool inFlight = false;
        bool appended = false;
        state::MonotonicTime retryAt;
        std::size_t order = 0;
    };

    void send(const std::string& key, Entry& entry);

    Append m_append;
    state::MonotonicClock m_clock;
    std::map<std::string, Entry> m_entries;
    std::size_t m_nextOrder = 0;
    state::MonotonicTime m_lastConfirmed;
};

} // namespace lentilsaddle::coordination
