#include "coordination/batch/Leadership.h"

#include "coordination/batch/JournalKeys.h"
#include "coordination/batch/KeyedReader.h"
#include "coordination/decisions/batch/LeaderElection.h"
#include "protocol/batch/BatchRecordCodec.h"
#include "transport/EventLoop.h"
#include "transport/Logger.h"

#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::LeaderRecord;
using transport::LogLevel;
using transport::writeLog;

namespace {

    // Range of the first sequence number of a term. Two claimants of one term must not draw the same number, because
    // the store would treat the second claim as a retry of the first.
    constexpr std::uint64_t sequenceRange = 1'000'000'000;

} // namespace

Leadership::Leadership(transport::EventLoop& loop, const JournalHooks& journal, const BatchOptions& options,
    const state::InstanceId& self, std::uint64_t incarnation, KeyedReader& reader, Hooks hooks)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(options)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_reader(reader)
    , m_hooks(std::move(hooks))
    , m_appender(loop, journal, options,
          {
              .clock = m_hooks.clock,
              .onLeadershipLost = [this](const std::string& reason) { loseLeadership(reason); },
          })
{
    drawJitter();
}

Leadership::~Leadership() = default;

void Leadership::drawJitter()
{
    m_jitter
        = std::chrono::milliseconds(m_hooks.random() % static_cast<std::uint64_t>(m_options.claimJitter.count() + 1));
}

void Leadership::start(const std::optional<LeaderRecord>& leader)
{
    m_leader = leader;
    if (!m_started)
        m_lastLeaderActivity = m_hooks.clock();
    m_started = true;
    if (m_leading && leader && leader->term > m_claimedTerm)
        loseLeadership("a later term is in the journal");
}

void Leadership::onLeaderRecord(const LeaderRecord& leader)
{
    if (m_leader && leader.term < m_leader->term)
        return;
    bool changed = !m_leader || *m_leader != leader;
    m_leader = leader;
    m_lastLeaderActivity = m_hooks.clock();
    if (changed) {
        writeLog(LogLevel::Info, "leadership", "leader record read",
            { { "term", std::to_string(leader.term) }, { "leader", leader.instance.value() },
                { "vacant", leader.vacant ? "true" : "false" } });
        drawJitter();
    }
    bool own = leader.instance == m_self && leader.incarnation == m_incarnation;
    if (!own && (m_leading || m_appender.active()) && leader.term >= m_claimedTerm)
        loseLeadership("another instance leads a later term");
    // The claim took effect although its response was lost.
    bool claimed = own && !leader.vacant && leader.term == m_claimedTerm && leader.term != m_endedTerm;
    if (claimed && !m_appender.active() && !m_claiming)
        beginTerm(leader.term, m_claimSequence + 1);
}

void Leadership::onLeaderActivity()
{
    m_lastLeaderActivity = m_hooks.clock();
}

void Leadership::onJournalRead()
{
    claimIfDue();
}

std::chrono::nanoseconds Leadership::leaderSilence() const
{
    return m_leading || !m_started ? std::chrono::nanoseconds(0) : m_hooks.clock() - m_lastLeaderActivity;
}

bool Leadership::confirmedWithin(std::chrono::milliseconds limit) const
{
    std::optional<state::MonotonicTime> confirmed = m_appender.lastConfirmed();
    return m_leading && confirmed && m_hooks.clock() < *confirmed + limit;
}

bool Leadership::authorised() const
{
    return confirmedWithin(m_options.leaderLease);
}

bool Leadership::mayRenew() const
{
    return confirmedWithin(m_options.leaderLease + m_options.renewalGrace);
}

void Leadership::claimIfDue()
{
    if (!m_hooks.eligible()) {
        m_eligibleSince.reset();
        return;
    }
    if (!m_eligibleSince)
        m_eligibleSince = m_hooks.clock();
    if (!m_started || m_claiming || m_appender.active())
        return;
    LeadershipView view {
        .self = m_self,
        .incarnation = m_incarnation,
        .leader = m_leader,
        .lastLeaderActivity = m_lastLeaderActivity,
        .eligibleSince = *m_eligibleSince,
        .jitter = m_jitter,
        .outrankedDelay = m_hooks.outrankedDelay(),
    };
    state::MonotonicTime now = m_hooks.clock();
    state::MonotonicTime due = claimTime(view, m_options.failoverDelay);
    if (now >= due) {
        claim();
        return;
    }
    if (due - now > m_options.journalWait)
        return;
    // The next successful read may come after the claim is due.
    m_loop.startTimer(
        std::chrono::duration_cast<std::chrono::microseconds>(due - now), [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                claimIfDue();
        });
}

KeyedRecord Leadership::leaderRecord(std::uint64_t term, bool vacant) const
{
    LeaderRecord leader { .term = term, .instance = m_self, .incarnation = m_incarnation, .vacant = vacant };
    return { .key = std::string(leaderKey), .value = protocol::batch::encodeLeader(leader) };
}

void Leadership::claim()
{
    m_claiming = true;
    m_claimedTerm = (m_leader ? m_leader->term : 0) + 1;
    m_claimSequence = m_hooks.random() % sequenceRange;
    writeLog(LogLevel::Info, "leadership", "claiming",
        { { "term", std::to_string(m_claimedTerm) }, { "at", std::to_string(m_reader.position()) },
            { "silent_ms",
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(m_hooks.clock() - m_lastLeaderActivity)
                        .count()) } });
    AppendRequest request {
        .records = { leaderRecord(m_claimedTerm, false) },
        .writer = Writer { .term = m_claimedTerm, .sequence = m_claimSequence },
        .expectedEnd = m_reader.position(),
        .timeout = m_options.appendTimeout,
    };
    m_journal.append(request,
        [this, term = m_claimedTerm, sequence = m_claimSequence, alive = std::weak_ptr(m_alive)](
            const AppendResult& result) {
            if (!alive.expired())
                onClaimed(term, sequence, result);
        });
}

void Leadership::onClaimed(std::uint64_t term, std::uint64_t sequence, const AppendResult& result)
{
    m_claiming = false;
    if (result.status == AppendResult::Status::Stored) {
        beginTerm(term, sequence + 1);
        return;
    }
    writeLog(LogLevel::Info, "leadership", "claim failed",
        { { "term", std::to_string(term) }, { "status", std::to_string(static_cast<int>(result.status)) },
            { "error", result.error } });
    // The journal shows whether a claim without a response took effect.
    bool ownClaimRead = m_leader && m_leader->term == term && m_leader->incarnation == m_incarnation;
    if (ownClaimRead && !m_leader->vacant)
        beginTerm(term, sequence + 1);
    drawJitter();
    // The journal holds a record that this instance has not read, so the claim is retried after the read.
    if (result.status == AppendResult::Status::ConditionFailed)
        m_reader.refresh(m_options.readTimeout, [](bool) {});
}

void Leadership::beginTerm(std::uint64_t term, std::uint64_t sequence)
{
    if (m_leader && m_leader->term > term)
        return;
    m_appender.beginTerm(term, sequence);
    // The lease starts with an acknowledged append of the term, so that a claim that took effect late grants none.
    m_appender.append({ leaderRecord(term, false) }, [this, term](std::uint64_t) {
        m_leading = true;
        writeLog(LogLevel::Info, "leadership", "leading", { { "term", std::to_string(term) } });
        scheduleHeartbeat();
        m_hooks.onElected(term);
    });
}

void Leadership::scheduleHeartbeat()
{
    m_loop.startTimer(m_options.heartbeatInterval / 2, [this, term = m_claimedTerm, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired() && m_leading && term == m_claimedTerm)
            sendHeartbeat();
    });
}

void Leadership::sendHeartbeat()
{
    scheduleHeartbeat();
    bool due = !m_appender.lastConfirmed()
        || m_hooks.clock()
            >= *m_appender.lastConfirmed() + m_options.heartbeatInterval - m_options.heartbeatInterval / 4;
    if (due && m_appender.idle())
        m_appender.append({ leaderRecord(m_claimedTerm, false) }, [](std::uint64_t) {});
}

void Leadership::append(std::vector<KeyedRecord> records, LeaderAppender::StoredCallback onStored)
{
    m_appender.append(std::move(records), std::move(onStored));
}

void Leadership::stepDown()
{
    if (!m_leading)
        return;
    m_leading = false;
    writeLog(LogLevel::Info, "leadership", "stepping down", { { "term", std::to_string(m_claimedTerm) } });
    m_appender.append({ leaderRecord(m_claimedTerm, true) }, [this](std::uint64_t) { endTerm(); });
    m_hooks.onLeadershipLost("stepped down");
}

void Leadership::endTerm()
{
    m_appender.endTerm();
    m_endedTerm = m_claimedTerm;
    m_lastLeaderActivity = m_hooks.clock();
}

void Leadership::loseLeadership(const std::string& reason)
{
    endTerm();
    if (!m_leading)
        return;
    m_leading = false;
    writeLog(LogLevel::Warning, "leadership", "leadership lost",
        { { "term", std::to_string(m_claimedTerm) }, { "reason", reason } });
    m_hooks.onLeadershipLost(reason);
}

} // namespace lentilsaddle::coordination::batch
