#include "coordination/requests/RequestClaims.h"

#include <algorithm>

namespace lentilsaddle::coordination {

namespace {

    /// Bound of the random number of further records after which an instance appends its snapshot, so that usually only
    /// one instance does. In records.
    constexpr std::uint64_t maximumSnapshotJitter = 100;

    const state::KeyDigest* recordKey(const state::Record& record)
    {
        if (const auto* claim = std::get_if<state::Record::RequestClaim>(&record.body))
            return &claim->key;
        if (const auto* ended = std::get_if<state::Record::RequestEnded>(&record.body))
            return &ended->key;
        return nullptr;
    }

} // namespace

RequestClaims::RequestClaims(
    state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks)
    : m_service(std::move(service))
    , m_environment(environment)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_replay(replayHooks())
    , m_snapshotJitter(environment.random() % maximumSnapshotJitter)
{
}

state::StreamReplay::Hooks RequestClaims::replayHooks()
{
    return {
        .snapshotOffset = [this](const state::Record& record) { return snapshotOffset(record); },
        .loadSnapshot = [this](const state::Record&) { loadSnapshot(); },
        .apply =
            [this](state::LogOffset, const state::Record& record) {
                m_ledger.apply(record, m_environment.monotonicClock());
                if (const state::KeyDigest* key = recordKey(record))
                    m_changedKeys.push_back(*key);
            },
    };
}

std::optional<state::LogOffset> RequestClaims::snapshotOffset(const state::Record& record)
{
    const auto* part = std::get_if<state::Record::RequestSnapshot>(&record.body);
    if (!part)
        return std::nullopt;
    // A replica with complete state does not load snapshots.
    if (m_replay.complete()) {
        m_snapshotParts.clear();
        return part->nextOffset;
    }
    std::optional<state::Record::RequestSnapshot> whole = m_snapshotParts.add(record.origin, *part);
    if (!whole)
        return std::nullopt;
    m_assembledSnapshot = std::move(*whole);
    return m_assembledSnapshot.nextOffset;
}

void RequestClaims::loadSnapshot()
{
    m_ledger.restore(m_assembledSnapshot, m_environment.monotonicClock());
    for (const state::Record::RequestSnapshotEntry& snapshotEntry : m_assembledSnapshot.entries)
        m_changedKeys.push_back(snapshotEntry.key);
    m_assembledSnapshot = {};
}

std::vector<state::KeyDigest> RequestClaims::applyBatch(const state::StreamBatch& batch)
{
    m_replay.accept(batch);
    removeRecordedOutcomes();
    appendSnapshotIfDue(batch);
    return std::exchange(m_changedKeys, {});
}

void RequestClaims::appendSnapshotIfDue(const state::StreamBatch& batch)
{
    for (const state::StreamBatch::Entry& entry : batch.entries) {
        bool isSnapshot = std::holds_alternative<state::Record::RequestSnapshot>(entry.record.body);
        m_recordsSinceSnapshot = isSnapshot ? 0 : m_recordsSinceSnapshot + 1;
    }
    if (m_replay.caughtUp() && m_recordsSinceSnapshot >= m_options.snapshotRecords + m_snapshotJitter)
        appendSnapshot();
}

bool RequestClaims::isOwn(const state::Origin& origin) const
{
    return origin.instance == m_environment.instance && origin.incarnation == m_environment.incarnation;
}

const state::RequestLedger::Entry* RequestClaims::findEntry(const state::KeyDigest& key) const
{
    return m_ledger.find(key, m_environment.monotonicClock());
}

RequestClaims::KeyState RequestClaims::keyState(const state::KeyDigest& key) const
{
    if (!m_replay.complete())
        return KeyState::NotReplayed;
    const state::RequestLedger::Entry* found = findEntry(key);
    if (!found || !found->issuer)
        return KeyState::Unclaimed;
    auto stateAfter = [](const state::Record::RequestEnded& ended) {
        return ended.outcome == state::RequestOutcome::Done ? KeyState::Done : KeyState::OutcomeUnknown;
    };
    if (found->ended)
        return stateAfter(*found->ended);
    if (!isOwn(*found->issuer))
        return KeyState::ClaimedElsewhere;
    auto used = m_usedClaims.find({ key, found->issuer->sequence });
    if (used == m_usedClaims.end())
        return KeyState::OwnClaimUnused;
    if (!used->second.outcome)
        return KeyState::OwnClaimUsed;
    if (used->second.outcome->outcome == state::RequestOutcome::NotRun)
        return KeyState::OwnClaimReleasing;
    return stateAfter(*used->second.outcome);
}

int RequestClaims::doneStatus(const state::KeyDigest& key) const
{
    const state::RequestLedger::Entry* found = findEntry(key);
    if (!found || !found->issuer)
        return 0;
    if (found->ended)
        return found->ended->status;
    auto used = m_usedClaims.find({ key, found->issuer->sequence });
    return used != m_usedClaims.end() && used->second.outcome ? used->second.outcome->status : 0;
}

bool RequestClaims::isRejected(const state::KeyDigest& key, const state::Origin& claim) const
{
    const state::RequestLedger::Entry* found = findEntry(key);
    return found
        && std::find(found->rejectedClaims.begin(), found->rejectedClaims.end(), claim) != found->rejectedClaims.end();
}

void RequestClaims::append(
    state::Record::Body body, state::MonotonicTime deadline, std::function<void(LogMessage::AppendResult)> onResult)
{
    m_hooks.postLog({ .body = LogMessage::Append {
                          .stream = "requests." + m_service.value(),
                          .body = std::move(body),
                          .deadline = deadline,
                          .onResult = std::move(onResult),
                      } });
}

void RequestClaims::appendClaim(
    const state::KeyDigest& key, const state::RequestId& request, std::uint64_t ticket, state::MonotonicTime deadline)
{
    auto onResult
        = [post = m_hooks.post, service = m_service, request, ticket](const LogMessage::AppendResult& result) {
              post({ .body = RequestMessage::ClaimAppendResult {
                         .request = request,
                         .certainlyNotAppended = result.status == LogMessage::AppendStatus::NotAppended,
                         .service = service,
                         .ticket = ticket,
                         .origin = result.origin,
                     } });
          };
    append(state::Record::RequestClaim { .key = key, .request = request }, deadline, std::move(onResult));
}

std::uint64_t RequestClaims::useClaim(const state::KeyDigest& key)
{
    std::uint64_t sequence = findEntry(key)->issuer->sequence;
    m_usedClaims[{ key, sequence }] = {};
    return sequence;
}

void RequestClaims::recordOutcome(
    const state::KeyDigest& key, std::uint64_t claimSequence, state::RequestOutcome outcome, int status)
{
    ClaimId id { key, claimSequence };
    UsedClaim& used = m_usedClaims[id];
    used.outcome = state::Record::RequestEnded {
        .key = key, .outcome = outcome, .status = status, .claimSequence = claimSequence
    };
    appendOutcome(id, used);
}

void RequestClaims::appendOutcome(const ClaimId& id, UsedClaim& used)
{
    used.appending = true;
    auto onResult = [post = m_hooks.post, service = m_service, id](const LogMessage::AppendResult& result) {
        post({ .body = RequestMessage::OutcomeAppendResult {
                   .service = service,
                   .key = id.first,
                   .claimSequence = id.second,
                   .appended = result.status == LogMessage::AppendStatus::Appended,
               } });
    };
    append(*used.outcome, m_environment.monotonicClock() + m_options.outcomeAppendTimeout, std::move(onResult));
}

void RequestClaims::onOutcomeAppendResult(const RequestMessage::OutcomeAppendResult& message)
{
    auto found = m_usedClaims.find({ message.key, message.claimSequence });
    if (found == m_usedClaims.end())
        return;
    found->second.appending = false;
    found->second.appended = message.appended;
    if (message.appended || m_retryScheduled)
        return;
    m_retryScheduled = true;
    m_hooks.startTimer(m_options.outcomeRetryDelay, [this] {
        m_retryScheduled = false;
        if (m_logReachable)
            appendOutcomes();
    });
}

void RequestClaims::appendOutcomes()
{
    for (auto& [id, used] : m_usedClaims) {
        if (used.outcome && !used.appending && !used.appended)
            appendOutcome(id, used);
    }
}

void RequestClaims::removeRecordedOutcomes()
{
    if (!m_replay.complete())
        return;
    std::erase_if(m_usedClaims, [this](const auto& item) {
        const auto& [id, used] = item;
        if (!used.outcome)
            return false;
        const state::RequestLedger::Entry* found = findEntry(id.first);
        return !found || !found->issuer || !isOwn(*found->issuer) || found->issuer->sequence != id.second
            || found->ended;
    });
}

void RequestClaims::setLogReachable(bool reachable)
{
    bool becameReachable = reachable && !m_logReachable;
    m_logReachable = reachable;
    if (!becameReachable)
        return;
    appendOutcomes();
    // After an outage about as long as the log's retention, the records are about to expire; the snapshot replaces
    // them.
    appendSnapshot();
}

void RequestClaims::appendSnapshot()
{
    if (!m_replay.complete())
        return;
    state::MonotonicTime now = m_environment.monotonicClock();
    m_ledger.expire(now);
    m_recordsSinceSnapshot = 0;
    m_snapshotJitter = m_environment.random() % maximumSnapshotJitter;
    state::Record::RequestSnapshot snapshot = m_ledger.snapshot(m_replay.nextOffset(), now);
    for (state::Record::RequestSnapshot& part : state::RequestSnapshotParts::split(snapshot))
        append(std::move(part), now + m_options.outcomeAppendTimeout, {});
}

bool RequestClaims::hasUnrecordedOutcomes() const
{
    return std::any_of(m_usedClaims.begin(), m_usedClaims.end(),
        [](const auto& item) { return item.second.outcome && !item.second.appended; });
}

} // namespace lentilsaddle::coordination
