/// @file
/// Leadership of batch scheduling.
#pragma once

#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/JournalHooks.h"
#include "coordination/batch/LeaderAppender.h"
#include "state/Time.h"
#include "state/batch/LeaderRecord.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilsaddle::transport {
class EventLoop;
}

namespace lentilsaddle::coordination::batch {

class KeyedReader;

/// Claims, maintains and releases the leadership of this instance. The newest leader record of the journal names the
/// leader. A claim is stored only at the end of the journal that the claimant has read, so it fails if the leader has
/// written since.
class Leadership {
public:
    struct Hooks {
        state::MonotonicClock clock;
        std::function<std::uint64_t()> random;
        /// This instance leads; the journal has been read up to its claim.
        std::function<void(std::uint64_t term)> onElected;
        /// This instance no longer leads and must not start or stop runs.
        std::function<void(const std::string& reason)> onLeadershipLost;
        /// Whether this instance may lead.
        std::function<bool()> eligible;
        /// Delay of a claim while an instance with more processors may claim.
        std::function<std::chrono::milliseconds()> outrankedDelay;
    };

    Leadership(transport::EventLoop& loop, const JournalHooks& journal, const BatchOptions& options,
        const state::InstanceId& self, std::uint64_t incarnation, KeyedReader& reader, Hooks hooks);
    ~Leadership();

    /// Called when the journal has been listed.
    void start(const std::optional<state::batch::LeaderRecord>& leader);

    /// Processes a leader record that follows the listing.
    void onLeaderRecord(const state::batch::LeaderRecord& leader);

    /// Called for any other record that only the leader writes, which shows that it is alive.
    void onLeaderActivity();

    /// Called after each successful read of the journal.
    void onJournalRead();

    /// Steps down and marks the term as vacant, so that another instance can claim at once. This instance may claim the
    /// next term like any other as soon as the mark is stored.
    void stepDown();

    /// @return the newest known leader record.
    const std::optional<state::batch::LeaderRecord>& leader() const { return m_leader; }

    bool leading() const { return m_leading; }

    /// @return time since the last sign of a leader as this instance sees it; 0 while it leads.
    std::chrono::nanoseconds leaderSilence() const;

    std::uint64_t term() const { return m_leading ? m_claimedTerm : 0; }

    /// @return whether the leader's lease is valid, so that runs may be started and stopped.
    bool authorised() const;

    /// @return whether the workers' leases may be renewed now.
    bool mayRenew() const;

    /// Appends records under the term; only while leading.
    void append(std::vector<KeyedRecord> records, LeaderAppender::StoredCallback onStored);

    /// Stores a record with the next append, at the latest with the next heartbeat; only while leading.
    void appendWithNext(KeyedRecord record) { m_appender.appendWithNext(std::move(record)); }

private:
    bool confirmedWithin(std::chrono::milliseconds limit) const;
    void claimIfDue();
    void claim();
    void onClaimed(std::uint64_t term, std::uint64_t sequence, const AppendResult& result);
    void beginTerm(std::uint64_t term, std::uint64_t sequence);
    /// Stops writing under the claimed term for good.
    void endTerm();
    void loseLeadership(const std::string& reason);
    void scheduleHeartbeat();
    void sendHeartbeat();
    KeyedRecord leaderRecord(std::uint64_t term, bool vacant) const;
    void drawJitter();

    transport::EventLoop& m_loop;
    const JournalHooks& m_journal;
    const BatchOptions& m_options;
    state::InstanceId m_self;
    std::uint64_t m_incarnation;
    KeyedReader& m_reader;
    Hooks m_hooks;
    LeaderAppender m_appender;
    std::optional<state::batch::LeaderRecord> m_leader;
    bool m_started = false;
    bool m_leading = false;
    bool m_claiming = false;
    std::uint64_t m_claimedTerm = 0;
    std::uint64_t m_claimSequence = 0;
    /// Newest term that this instance has begun and ended. Its records may be read later and do not begin it again: the
    /// store would answer an append with a repeated sequence number as if it had been stored.
    std::uint64_t m_endedTerm = 0;
    state::MonotonicTime m_lastLeaderActivity {};
    /// Empty while this instance is not eligible.
    std::optional<state::MonotonicTime> m_eligibleSince;
    std::chrono::milliseconds m_jitter { 0 };
    /// Calls in flight hold a weak reference, so that a response after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
