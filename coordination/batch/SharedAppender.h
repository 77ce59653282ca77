/// @file
/// Appends of records that any instance may write.
#pragma once

#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/JournalHooks.h"
#include "state/Time.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Appends the records that any instance may write: submissions, cancellations and announcements. Judges all attempts
/// to append a record together, because a refusal of one attempt does not show that an earlier one had no effect.
class SharedAppender {
public:
    struct Hooks {
        state::MonotonicClock clock;
        /// Whether the last read of the journal succeeded.
        std::function<bool()> journalReachable;
    };

    struct Append {
        KeyedRecord record;
        /// Receives the outcome of all attempts to append the record.
        std::function<void(AppendResult::Status)> reply;
    };

    SharedAppender(const JournalHooks& journal, const BatchOptions& options, Hooks hooks);
    ~SharedAppender();

    /// While the store is suspected, replies at once without an attempt, which would only delay the caller. While an
    /// append of the same key is in flight, its outcome is that of both.
    void append(Append append);

    /// @return whether the last read failed, or the store has not confirmed a recent append.
    bool storeSuspected() const;

    /// @return whether an append of the key is in flight, or has ended without a response and may still take effect.
    bool unresolved(const std::string& key) const;

    /// The store has responded to a read.
    void onStoreResponse();
    /// A record was read in the journal.
    void onRecordRead(const std::string& key);

private:
    struct InFlight {
        /// The record of the first one has been sent.
        std::vector<Append> appends;
        /// The journal has shown the record.
        bool read = false;
    };

    /// Sends the record of a key in flight.
    /// @param attempts how often the record may be sent within the timeout.
    void send(const std::string& key, std::chrono::milliseconds timeout, int attempts);
    /// @param remaining what is left of the timeout.
    /// @param attempts how often the record may have been sent, including this time.
    void onResult(
        const std::string& key, const AppendResult& result, std::chrono::milliseconds remaining, int attempts);
    /// Passes the outcome of the attempts to all callers that wait for a key.
    void finish(const std::string& key, AppendResult::Status status);

    const JournalHooks& m_journal;
    const BatchOptions& m_options;
    Hooks m_hooks;
    /// Set while the last append was not confirmed.
    std::optional<state::MonotonicTime> m_suspectedUntil;
    /// Appends by key whose outcome is awaited.
    std::map<std::string, InFlight> m_inFlight;
    /// Keys of appends that have ended without a response and may still take effect.
    std::set<std::string> m_unconfirmed;
    /// Calls in flight hold a weak reference, so that a response after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
