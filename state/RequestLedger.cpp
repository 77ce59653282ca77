#include "state/RequestLedger.h"

#include <algorithm>

namespace lentilsaddle::state {

namespace {

    bool isExpired(const RequestLedger::Entry& entry, MonotonicTime now)
    {
        return now - entry.lastClaimTime >= RequestLedger::idempotencyWindow;
    }

    bool matchesClaim(const Origin& claim, const Origin& outcome, std::uint64_t claimSequence)
    {
        return claim.instance == outcome.instance && claim.incarnation == outcome.incarnation
            && claim.sequence == claimSequence;
    }

    Record::RequestEnded notRun(const KeyDigest& key, const Origin& claim)
    {
        return { .key = key, .outcome = RequestOutcome::NotRun, .status = 0, .claimSequence = claim.sequence };
    }

} // namespace

void RequestLedger::apply(const Record& record, MonotonicTime now)
{
    if (const auto* claim = std::get_if<Record::RequestClaim>(&record.body))
        applyClaim(claim->key, record.origin, now);
    else if (const auto* ended = std::get_if<Record::RequestEnded>(&record.body))
        applyEnded(*ended, record.origin, now);
}

void RequestLedger::applyClaim(const KeyDigest& key, const Origin& claim, MonotonicTime now)
{
    Entry& entry = m_entries[key];
    if (isExpired(entry, now))
        entry = {};
    entry.lastClaimTime = now;
    if (std::find(entry.rejectedClaims.begin(), entry.rejectedClaims.end(), claim) != entry.rejectedClaims.end())
        return;
    if (!entry.issuer)
        entry.issuer = claim;
    else if (*entry.issuer != claim)
        entry.rejectedClaims.push_back(claim);
}

void RequestLedger::applyEnded(const Record::RequestEnded& ended, const Origin& origin, MonotonicTime now)
{
    auto found = m_entries.find(ended.key);
    if (found == m_entries.end() || isExpired(found->second, now))
        return;
    Entry& entry = found->second;
    if (!entry.issuer || entry.ended || !matchesClaim(*entry.issuer, origin, ended.claimSequence))
        return;
    if (ended.outcome != RequestOutcome::NotRun) {
        entry.ended = ended;
        return;
    }
    entry.rejectedClaims.push_back(*entry.issuer);
    entry.issuer.reset();
}

void RequestLedger::restore(const Record::RequestSnapshot& snapshot, MonotonicTime now)
{
    m_entries.clear();
    for (const Record::RequestSnapshotEntry& saved : snapshot.entries) {
        Entry& entry = m_entries[saved.key];
        entry.lastClaimTime = now - saved.age;
        if (saved.ended && saved.ended->outcome == RequestOutcome::NotRun) {
            entry.rejectedClaims.push_back(saved.issuer);
            continue;
        }
        entry.issuer = saved.issuer;
        entry.ended = saved.ended;
    }
}

Record::RequestSnapshot RequestLedger::snapshot(LogOffset nextOffset, MonotonicTime now) const
{
    Record::RequestSnapshot snapshot;
    snapshot.nextOffset = nextOffset;
    for (const auto& [key, entry] : m_entries) {
        if (isExpired(entry, now))
            continue;
        // Rounded down, so that a key is kept too long rather than too short.
        auto age = std::chrono::floor<std::chrono::seconds>(now - entry.lastClaimTime);
        for (const Origin& claim : entry.rejectedClaims)
            snapshot.entries.push_back({ .key = key, .issuer = claim, .ended = notRun(key, claim), .age = age });
        if (entry.issuer)
            snapshot.entries.push_back({ .key = key, .issuer = *entry.issuer, .ended = entry.ended, .age = age });
    }
    return snapshot;
}

const RequestLedger::Entry* RequestLedger::find(const KeyDigest& key, MonotonicTime now) const
{
    auto found = m_entries.find(key);
    return found == m_entries.end() || isExpired(found->second, now) ? nullptr : &found->second;
}

void RequestLedger::expire(MonotonicTime now)
{
    std::erase_if(m_entries, [now](const auto& item) { return isExpired(item.second, now); });
}

} // namespace lentilsaddle::state
