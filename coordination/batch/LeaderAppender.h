/// @file
/// Appends of the leader, one at a time and in order.
#pragma once

#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/JournalHooks.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::transport {
class EventLoop;
}

namespace lentilsaddle::coordination::batch {

/// Appends records under one term. An append without a definite response is retried with its sequence number, which the
/// store recognises, so each batch is stored once, or the store reports that the leadership is lost.
class LeaderAppender {
public:
    /// @param firstOffset offset of the first of the records.
    using StoredCallback = std::function<void(std::uint64_t firstOffset)>;

    struct Hooks {
        state::MonotonicClock clock;
        std::function<void(const std::string& reason)> onLeadershipLost;
    };

    LeaderAppender(transport::EventLoop& loop, const JournalHooks& journal, const BatchOptions& options, Hooks hooks);
    ~LeaderAppender();

    /// Starts writing under a term and drops everything of an earlier one.
    /// @param sequence sequence number of the first append.
    void beginTerm(std::uint64_t term, std::uint64_t sequence);

    /// Stops writing; callbacks of records that are not stored yet never run.
    void endTerm();

    bool active() const { return m_term != 0; }

    /// Queues records; those queued while an append is in flight are sent with the next one. Records of one call are
    /// stored together.
    /// @param records may be empty; then `onStored` follows those of all earlier calls.
    void append(std::vector<KeyedRecord> records, StoredCallback onStored);

    /// Stores a record with the next append; it causes none of its own. Dropped at the end of the term.
    void appendWithNext(KeyedRecord record) { m_deferred.push_back(std::move(record)); }

    /// @return when the last acknowledged append was first sent; empty before the first of the term.
    std::optional<state::MonotonicTime> lastConfirmed() const { return m_lastConfirmed; }

    bool idle() const { return !m_current; }

private:
    struct Entry {
        std::vector<KeyedRecord> records;
        StoredCallback onStored;
    };

    struct Batch {
        std::vector<KeyedRecord> records;
        /// Callbacks, each with the index of its first record in the batch.
        std::vector<std::pair<StoredCallback, std::size_t>> callbacks;
        std::optional<state::MonotonicTime> firstSent;
    };

    void sendNext();
    Batch takeBatch();
    void send();
    /// Calls back for a batch without records, which needs no append.
    static void completeEmptyBatch(const Batch& batch);
    void onResult(std::uint64_t term, const AppendResult& result);

    transport::EventLoop& m_loop;
    const JournalHooks& m_journal;
    const BatchOptions& m_options;
    Hooks m_hooks;
    std::uint64_t m_term = 0;
    std::uint64_t m_sequence = 0;
    std::optional<Batch> m_current;
    std::deque<Entry> m_queue;
    std::vector<KeyedRecord> m_deferred;
    bool m_sendScheduled = false;
    std::optional<state::MonotonicTime> m_lastConfirmed;
    /// Calls in flight hold a weak reference, so that a response after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
