#include "coordination/requests/RequestClaims.h"

#include <algorithm>

namespace lentilsaddle::coordination {

namespace {

    /// Instances append their snapshots after a random number of further records, so that mostly only one does.
    constexpr std::uint64_t maximumSnapshotSpread = 100;

    const state::KeyDigest* keyOf(const state::Record& record)
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
    , m_snapshotSpread(environment.random() % maximumSnapshotSpread)
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
                if (const state::KeyDigest* key = keyOf(record))
                    m_touched.push_back(*key);
            },
    };
}

std::optional<state::LogOffset> RequestClaims::snapshotOffset(const state::Record& record)
{
    const auto* part = std::get_if<state::Record::RequestSnapshot>(&record.body);
    if (!part)
        return std::nullopt;
    // Only a reader that lacks the state needs snapshots.
    if (m_replay.complete()) {
        m_snapshotParts.clear();
        return part->nextOffset;
    }
    std::optional<state::Record::RequestSnapshot> whole = m_snapshotParts.add(record.origin, *part);
    if (!whole)
        return std::nullopt;
    m_wholeSnapshot = std::move(*whole);
    return m_wholeSnapshot.nextOffset;
}

void RequestClaims::loadSnapshot()
{
    m_ledger.restore(m_wholeSnapshot, m_environment.monotonicClock());
    for (const state::Record::RequestSnapshotEntry& saved : m_wholeSnapshot.entries)
        m_touched.push_back(saved.key);
    m_wholeSnapshot = {};
}

std::vector<state::KeyDigest> RequestClaims::accept(const state::StreamBatch& batch)
{
    m_replay.accept(batch);
    forgetRecordedOutcomes();
    countRecords(batch);
    return std::exchange(m_touched, {});
}

void RequestClaims::countRecords(const state::StreamBatch& batch)
{
    for (const state::StreamBatch::Entry& read : batch.entries) {
        bool isSnapshot = std::holds_alternative<state::Record::RequestSnapshot>(read.record.body);
        m_recordsSinceSnapshot = isSnapshot ? 0 : m_recordsSinceSnapshot + 1;
    }
    if (m_replay.caughtUp() && m_recordsSinceSnapshot >= m_options.snapshotRecords + m_snapshotSpread)
        appendSnapshot();
}

bool RequestClaims::isOwn(const state::Origin& origin) const
{
    return origin.instance == m_environment.instance && origin.incarnation == m_environment.incarnation;
}

const state::RequestLedger::Entry* RequestClaims::entry(const state::KeyDigest& key) const
{
    return m_ledger.find(key, m_environment.monotonicClock());
}

RequestClaims::Standing RequestClaims::standing(const state::KeyDigest& key) const
{
    if (!m_replay.complete())
        return Standing::Incomplete;
    const state::RequestLedger::Entry* found = entry(key);
    if (!found || !found->issuer)
        return Standing::Free;
    auto standingOf = [](const state::Record::RequestEnded& ended) {
        return ended.outcome == state::RequestOutcome::Done ? Standing::Done : Standing::Unknown;
    };
    if (found->ended)
        return standingOf(*found->ended);
    if (!isOwn(*found->issuer))
        return Standing::Taken;
    auto taken = m_taken.find({ key, found->issuer->sequence });
    if (taken == m_taken.end())
        return Standing::Ours;
    if (!taken->second.outcome)
        return Standing::InHand;
    if (taken->second.outcome->outcome == state::RequestOutcome::NotRun)
        return Standing::Releasing;
    return standingOf(*taken->second.outcome);
}

int RequestClaims::doneStatus(const state::KeyDigest& key) const
{
    const state::RequestLedger::Entry* found = entry(key);
    if (!found || !found->issuer)
        return 0;
    if (found->ended)
        return found->ended->status;
    auto taken = m_taken.find({ key, found->issuer->sequence });
    return taken != m_taken.end() && taken->second.outcome ? taken->second.outcome->status : 0;
}

bool RequestClaims::isSpent(const state::KeyDigest& key, const state::Origin& claim) const
{
    const state::RequestLedger::Entry* found = entry(key);
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

void RequestClaims::claim(
    const state::KeyDigest& key, const state::RequestId& request, std::uint64_t ticket, state::MonotonicTime deadline)
{
    auto onResult
        = [post = m_hooks.post, service = m_service, request, ticket](const LogMessage::AppendResult& result) {
              post({ .body = RequestMessage::ClaimAppended {
                         .request = request,
                         .certainlyNotAppended = result.status == LogMessage::AppendStatus::NotAppended,
                         .service = service,
                         .ticket = ticket,
                         .origin = result.origin,
                     } });
          };
    append(state::Record::RequestClaim { .key = key, .request = request }, deadline, std::move(onResult));
}

std::uint64_t RequestClaims::take(const state::KeyDigest& key)
{
    std::uint64_t sequence = entry(key)->issuer->sequence;
    m_taken[{ key, sequence }] = {};
    return sequence;
}

void RequestClaims::end(
    const state::KeyDigest& key, std::uint64_t claimSequence, state::RequestOutcome outcome, int status)
{
    ClaimId id { key, claimSequence };
    Taken& taken = m_taken[id];
    taken.outcome = state::Record::RequestEnded {
        .key = key, .outcome = outcome, .status = status, .claimSequence = claimSequence
    };
    appendOutcome(id, taken);
}

void RequestClaims::appendOutcome(const ClaimId& id, Taken& taken)
{
    taken.appending = true;
    auto onResult = [post = m_hooks.post, service = m_service, id](const LogMessage::AppendResult& result) {
        post({ .body = RequestMessage::OutcomeAppended {
                   .service = service,
                   .key = id.first,
                   .claimSequence = id.second,
                   .appended = result.status == LogMessage::AppendStatus::Appended,
               } });
    };
    append(*taken.outcome, m_environment.monotonicClock() + m_options.outcomeAppendTimeout, std::move(onResult));
}

void RequestClaims::outcomeAppended(const RequestMessage::OutcomeAppended& message)
{
    auto found = m_taken.find({ message.key, message.claimSequence });
    if (found == m_taken.end())
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
    for (auto& [id, taken] : m_taken) {
        if (taken.outcome && !taken.appending && !taken.appended)
            appendOutcome(id, taken);
    }
}

void RequestClaims::forgetRecordedOutcomes()
{
    if (!m_replay.complete())
        return;
    std::erase_if(m_taken, [this](const auto& item) {
        const auto& [id, taken] = item;
        if (!taken.outcome)
            return false;
        const state::RequestLedger::Entry* found = entry(id.first);
        return !found || !found->issuer || !isOwn(*found->issuer) || found->issuer->sequence != id.second
            || found->ended;
    });
}

void RequestClaims::setLogReachable(bool reachable)
{
    bool returned = reachable && !m_logReachable;
    m_logReachable = reachable;
    if (!returned)
        return;
    appendOutcomes();
    // Records may expire soon after an outage as long as the retention, and a snapshot replaces them.
    appendSnapshot();
}

void RequestClaims::appendSnapshot()
{
    if (!m_replay.complete())
        return;
    state::MonotonicTime now = m_environment.monotonicClock();
    m_ledger.expire(now);
    m_recordsSinceSnapshot = 0;
    m_snapshotSpread = m_environment.random() % maximumSnapshotSpread;
    state::Record::RequestSnapshot snapshot = m_ledger.snapshot(m_replay.nextOffset(), now);
    for (state::Record::RequestSnapshot& part : state::RequestSnapshotParts::split(snapshot))
        append(std::move(part), now + m_options.outcomeAppendTimeout, {});
}

bool RequestClaims::hasUnrecordedOutcomes() const
{
    return std::any_of(
        m_taken.begin(), m_taken.end(), [](const auto& item) { return item.second.outcome && !item.second.appended; });
}

} // namespace lentilsaddle::coordination
