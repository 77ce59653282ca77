/// @file
/// Replay of the claims and outcomes of non-repeatable requests.
#pragma once

#include "state/KeyDigest.h"
#include "state/Origin.h"
#include "state/Record.h"
#include "state/Time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lentilsaddle::state {

/// Claims and outcomes of non-repeatable requests by idempotency key. Only the process whose claim holds a key may
/// dispatch the request.
///
/// Replay is deterministic: the first claim in log order holds the key until its issuer reports that the request did
/// not run. Every claim is kept for the idempotency window, so that a late duplicate of it never acquires the key.
class RequestLedger {
public:
    /// Retention time of a key. Shorter than the log's retention, so that replay always covers it.
    static constexpr std::chrono::hours idempotencyWindow { 24 };

    struct Entry {
        /// Claim that holds the key; none after its request ended as not run.
        std::optional<Origin> issuer;
        /// Done or Unknown, once the issuer has reported it.
        std::optional<Record::RequestEnded> ended;
        /// Claims that were read while another claim held the key, and released claims. They never acquire the key.
        std::vector<Origin> rejectedClaims;
        /// When the latest claim was read. The window restarts at each claim: a replica on which the key has not
        /// expired yet must keep the claim that becomes the new holder at a replica on which the key has expired.
        MonotonicTime lastClaimTime;
    };

    /// Applies a claim or an outcome; other records are ignored.
    /// @param now when the record was read, which is never before it was written.
    void apply(const Record& record, MonotonicTime now);

    /// Replaces the state by a snapshot.
    void restore(const Record::RequestSnapshot& snapshot, MonotonicTime now);

    /// @param nextOffset offset up to which records have been applied.
    /// @return the state as a record, without expired keys.
    Record::RequestSnapshot snapshot(LogOffset nextOffset, MonotonicTime now) const;

    /// @return the entry of a key, or null if the key is unknown or has expired.
    const Entry* find(const KeyDigest& key, MonotonicTime now) const;

    /// Removes the keys whose window has passed.
    void expire(MonotonicTime now);

    std::size_t size() const { return m_entries.size(); }

private:
    void applyClaim(const KeyDigest& key, const Origin& claim, MonotonicTime now);
    void applyEnded(const Record::RequestEnded& ended, const Origin& origin, MonotonicTime now);

    std::map<KeyDigest, Entry> m_entries;
};

} // namespace lentilsaddle::state
