/// @file
/// Reader of one stream of keyed records.
#pragma once

#include "coordination/batch/JournalHooks.h"
#include "state/Time.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lentilsaddle::transport {
class EventLoop;
}

namespace lentilsaddle::coordination::batch {

struct BatchOptions;

/// Reads the newest record of each key, then tails the stream; starts over when the records at its position have
/// expired, and with Options::newestOnly also when it falls behind.
class KeyedReader {
public:
    struct Options {
        Stream stream = Stream::Journal;
        /// Long-poll wait of a read.
        std::chrono::milliseconds wait { 0 };
        /// Timeout of a read, beyond its wait; see JournalHooks.
        std::chrono::milliseconds timeout { 0 };
        /// Timeout of one page of a listing; see JournalHooks.
        std::chrono::milliseconds listTimeout { 2'000 };
        /// Longest delay before the first retry of a failed call. It doubles with each further failure.
        std::chrono::milliseconds retryDelay { 0 };
        /// Longest delay before any retry.
        std::chrono::milliseconds maximumRetryDelay { 0 };
        /// Limit of the records in a response; 0 leaves it to the store. Halved with each failed read, down to the
        /// minimum, and doubled with each successful one.
        std::size_t maximumBytes = 0;
        std::size_t minimumBytes = 4'096;
        /// Only the newest record of a key matters: when several records follow a response, the reader lists the stream
        /// instead of reading each of them.
        bool newestOnly = false;
        /// Minimum time between two reports of one outage.
        std::chrono::milliseconds outageReportInterval { 5'000 };
    };

    struct Reachability {
        bool reachable = false;
        /// Failed calls since the last successful one.
        int failedCalls = 0;
        /// Time since the first of these failures.
        std::chrono::milliseconds outage { 0 };
        /// Error of the last failed call; empty before the first.
        std::string error;
    };

    struct Hooks {
        state::MonotonicClock clock;
        /// Spreads the retries of several readers.
        std::function<std::uint64_t()> random;
        /// Minimum time from a response with records to the next read.
        std::function<std::chrono::milliseconds()> readInterval;
        /// All keys of the stream, after the first listing and after each gap. Keys that are absent do not exist.
        std::function<void(const std::vector<KeyedRecord>&)> onListing;
        /// New records, in the order of the stream.
        std::function<void(const std::vector<KeyedRecord>&)> onRecords;
        /// Called after each successful read.
        std::function<void()> afterRead;
        /// Called when the stream becomes reachable or unreachable, and repeatedly while it is unreachable.
        std::function<void(const Reachability&)> onReachability;
    };

    /// @return the options of the reader of a stream.
    static Options optionsFor(Stream stream, const BatchOptions& options);

    KeyedReader(transport::EventLoop& loop, const JournalHooks& journal, const Options& options, Hooks hooks);
    ~KeyedReader();

    void start();

    /// Reads at once if the next read is delayed.
    /// @param callback called when everything that was stored before the call has been read, at the latest after the
    /// limit. It receives false if the limit passed before, or if records could not be applied.
    void refresh(std::chrono::milliseconds limit, std::function<void(bool upToDate)> callback);

    /// @return when the last response that reached the end of the stream arrived; empty before the first.
    std::optional<state::MonotonicTime> currentAsOf() const { return m_currentAsOf; }

    /// @return when the read was sent whose response last reached the end of the stream, or when the first page of the
    /// last listing was requested; empty before the first. All records that were stored before then have been
    /// delivered, however long the response took.
    std::optional<state::MonotonicTime> completeAsOf() const { return m_completeAsOf; }

    /// @return whether the last call succeeded; false before the first.
    bool reachable() const { return m_reachable == true; }

    /// @return offset up to which the records were delivered.
    std::uint64_t position() const { return m_position; }

private:
    void list(const std::string& afterKey);
    void onNewest(NewestResult result);
    struct Waiter {
        std::uint64_t id = 0;
        state::MonotonicTime since {};
        std::function<void(bool upToDate)> callback;
    };

    void read();
    void onRead(state::MonotonicTime sent, const ReadResult& result);
    void readAfter(std::chrono::milliseconds readInterval);
    /// Calls back the waiters that a read sent at the given time has brought up to date.
    void completeWaiters(state::MonotonicTime sent);
    void expireWaiter(std::uint64_t id);
    void callLater(std::chrono::milliseconds delay, const std::function<void()>& call);
    void retryLater(const std::function<void()>& call, const std::string& error);
    std::chrono::milliseconds nextRetryDelay() const;
    void markReachable();
    void reportReachability();

    transport::EventLoop& m_loop;
    const JournalHooks& m_journal;
    Options m_options;
    Hooks m_hooks;
    std::uint64_t m_position = 0;
    std::vector<KeyedRecord> m_listing;
    std::optional<std::uint64_t> m_listingEnd;
    /// When the first page of the listing was requested.
    state::MonotonicTime m_listingRequested {};
    std::optional<state::MonotonicTime> m_currentAsOf;
    std::optional<state::MonotonicTime> m_completeAsOf;
    std::optional<bool> m_reachable;
    /// Current limit of the records in a response.
    std::size_t m_readBytes = 0;
    int m_failedCalls = 0;
    state::MonotonicTime m_firstFailure {};
    state::MonotonicTime m_lastReport {};
    std::string m_lastError;
    std::vector<Waiter> m_waiters;
    std::uint64_t m_lastWaiter = 0;
    /// Records could not be applied since a read last reached the end of the stream.
    bool m_deliveryFailed = false;
    /// Timer of a delayed read; 0 if there is none.
    std::uint64_t m_delayedRead = 0;
    /// Calls in flight hold a weak reference, so that a response after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
