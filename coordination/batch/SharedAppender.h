/// @file
/// Appends of records that any instance may write.
#pragma once

#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/JournalHooks.h"
#include "state/Time.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lentilsaddle::coordination::batch {

/// Appends records whose repeated append has no further effect, and judges all attempts to append a record together: a
/// refusal of one attempt does not show that an earlier one had no effect.
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

    /// While the store is suspected, replies at once without an attempt, which would only delay the caller.
    void append(Append append);

    /// @return whether the last read failed, or the store has not confirmed a recent append.
    bool storeSuspected() const;

    /// The store has responded to a read.
    void onStoreResponse();
    /// A record was read in the journal.
    void onRecordRead(const std::string& key);

private:
    /// @param attempts how often the record may be sent within the timeout.
    void send(const Append& append, std::chrono::milliseconds timeout, int attempts);
    void onResult(const Append& append, const AppendResult& result, std::chrono::milliseconds remaining, int attempts);

    const JournalHooks& m_journal;
    const BatchOptions& m_options;
    Hooks m_hooks;
    /// Set while the last append was not confirmed.
    std::optional<state::MonotonicTime> m_suspectedUntil;
    /// Keys of appends that may still take effect.
    std::set<std::string> m_unconfirmed;
    /// Calls in flight hold a weak reference, so that a response after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
