/// @file
/// Claims of idempotency keys by the non-repeatable requests of one service.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/log/LogMessage.h"
#include "coordination/requests/RequestMessage.h"
#include "coordination/requests/RequestTaskOptions.h"
#include "state/RequestLedger.h"
#include "state/RequestSnapshotParts.h"
#include "state/StreamReplay.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination {

/// Appends claims and outcomes to the service's stream, replays the stream, and determines which claim holds a key, and
/// so which process may dispatch the request.
///
/// Not thread-safe; used only on the thread of the owning task.
class RequestClaims {
public:
    struct Hooks {
        std::function<void(LogMessage)> postLog;
        /// Posts to the mailbox of the owning task; safe from any thread.
        std::function<void(RequestMessage)> post;
        std::function<void(std::chrono::microseconds, std::function<void()>)> startTimer;
    };

    /// State of an idempotency key as replayed from the stream.
    enum class KeyState {
        /// The stream has not been read completely from its start or a snapshot, so the state is not known.
        NotReplayed,
        /// No claim holds the key.
        Unclaimed,
        /// A claim of this process holds the key, and no request uses it.
        OwnClaimUnused,
        /// A claim of this process holds the key, and a request uses it.
        OwnClaimUsed,
        /// A claim of this process ended as not run, and this outcome has not been read back from the stream.
        OwnClaimReleasing,
        /// A claim of another process or incarnation holds the key, without an outcome.
        ClaimedElsewhere,
        /// The request ran, and its response status is known.
        Done,
        /// The request may have run; its response was lost.
        OutcomeUnknown,
    };

    /// @param environment must outlive the object.
    /// @param options must outlive the object.
    RequestClaims(
        state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks);
    RequestClaims(const RequestClaims&) = delete;
    RequestClaims& operator=(const RequestClaims&) = delete;

    /// Applies records of the stream.
    /// @return the keys whose state may have changed.
    std::vector<state::KeyDigest> applyBatch(const state::StreamBatch& batch);

    KeyState keyState(const state::KeyDigest& key) const;

    /// @return whether the stream is being read for the first time and the state is not complete yet.
    bool isFirstReplay() const { return !m_replay.complete() && m_replay.firstRead(); }

    /// @return the HTTP status of the request of a key whose state is Done.
    int doneStatus(const state::KeyDigest& key) const;

    /// @return whether a claim was read back from the stream and can no longer hold the key.
    bool isRejected(const state::KeyDigest& key, const state::Origin& claim) const;

    /// Appends a claim; the result is posted as RequestMessage::ClaimAppendResult.
    /// @param request identifier that the record contains.
    /// @param ticket number of the request, for the result.
    void appendClaim(const state::KeyDigest& key, const state::RequestId& request, std::uint64_t ticket,
        state::MonotonicTime deadline);

    /// Marks the claim of a key in state OwnClaimUnused as used. Each claim is used once.
    /// @return sequence number of the claim, for recordOutcome().
    std::uint64_t useClaim(const state::KeyDigest& key);

    /// Records the outcome of a used claim. The append is repeated until it succeeds or the outcome
    /// is read back from the stream.
    void recordOutcome(
        const state::KeyDigest& key, std::uint64_t claimSequence, state::RequestOutcome outcome, int status);

    /// Handles the result of appending an outcome.
    void onOutcomeAppendResult(const RequestMessage::OutcomeAppendResult& message);

    void setLogReachable(bool reachable);
    bool logReachable() const { return m_logReachable; }

    /// Appends a snapshot if the state is complete.
    void appendSnapshot();

    /// @return whether any outcome has no confirmed append.
    bool hasUnrecordedOutcomes() const;

private:
    /// Claim of this process that a request uses or has used.
    struct UsedClaim {
        /// None while the request runs.
        std::optional<state::Record::RequestEnded> outcome;
        bool appending = false;
        bool appended = false;
    };
    using ClaimId = std::pair<state::KeyDigest, std::uint64_t>;

    state::StreamReplay::Hooks replayHooks();
    std::optional<state::LogOffset> snapshotOffset(const state::Record& record);
    void loadSnapshot();
    bool isOwn(const state::Origin& origin) const;
    const state::RequestLedger::Entry* findEntry(const state::KeyDigest& key) const;
    void append(state::Record::Body body, state::MonotonicTime deadline,
        std::function<void(LogMessage::AppendResult)> onResult);
    void appendOutcome(const ClaimId& id, UsedClaim& used);
    void appendOutcomes();
    /// Removes the used claims whose outcome was read back from the stream or that no longer hold their key.
    void removeRecordedOutcomes();
    void appendSnapshotIfDue(const state::StreamBatch& batch);

    state::ServiceId m_service;
    const TaskEnvironment& m_environment;
    const RequestTaskOptions& m_options;
    Hooks m_hooks;
    state::RequestLedger m_ledger;
    state::RequestSnapshotParts m_snapshotParts;
    /// Snapshot assembled from its parts, which the replay loads next.
    state::Record::RequestSnapshot m_assembledSnapshot;
    state::StreamReplay m_replay;
    std::map<ClaimId, UsedClaim> m_usedClaims;
    std::vector<state::KeyDigest> m_changedKeys;
    std::size_t m_recordsSinceSnapshot = 0;
    /// Records added to RequestTaskOptions::snapshotRecords before the next snapshot.
    std::size_t m_snapshotJitter = 0;
    bool m_logReachable = true;
    bool m_retryScheduled = false;
};

} // namespace lentilsaddle::coordination
