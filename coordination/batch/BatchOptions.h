/// @file
/// Timing and limits of batch scheduling.
#pragma once

#include "coordination/decisions/WorkerQuarantine.h"

#include <chrono>
#include <cstddef>

namespace lentilsaddle::coordination::batch {

/// Defaults; some are overridden by settings, see docs/configuration.md.
struct BatchOptions {
    /// Lease of the leader, from the time when it sent its last acknowledged append. Below failoverDelay.
    std::chrono::milliseconds leaderLease { 1'500 };
    /// Time after the end of its lease in which a leader that has not been replaced still renews the workers' leases,
    /// so that an outage of the store does not end running tasks. It starts nothing in that time.
    std::chrono::milliseconds renewalGrace { 3'500 };
    /// Time without a record of the leader after which other instances claim the leadership. Covers the leader's lease
    /// and the duration of a read.
    std::chrono::milliseconds failoverDelay { 2'000 };
    /// Upper bound of the random delay before a claim, which makes simultaneous claims unlikely.
    std::chrono::milliseconds claimJitter { 150 };
    /// Delay of a claim while an instance with more processors may claim. Covers the followers' read interval, by which
    /// that instance may have read the last leader record later, the jitter of its claim, and a store call.
    std::chrono::milliseconds outrankedDelay { 500 };
    /// Time after which an instance asks again for the leadership of a term whose leader has fewer processors. The
    /// first request may come in the leader's pause after a failed handover.
    std::chrono::milliseconds leadershipRequestInterval { 5'000 };
    /// Whether speeds of workers are learned from runs and used to place work.
    bool learnRunTimes = true;
    /// Time between two summaries of the learned speeds, for the next leader. Every instance reads each of them.
    std::chrono::milliseconds speedStoreInterval { 8'000 };
    /// Workers in a summary; about 40 bytes each.
    std::size_t maximumStoredSpeeds = 512;
    /// Processors of this instance, in thousandths; 0 if unknown.
    int processors = 0;
    /// Delay before an announcement that was not confirmed is retried.
    std::chrono::milliseconds announceRetryDelay { 1'000 };
    /// The leader appends a heartbeat when it has written nothing for this long. A third of its lease.
    std::chrono::milliseconds heartbeatInterval { 500 };
    /// Timeout of an append. Two appends fit into the leader's lease.
    std::chrono::milliseconds appendTimeout { 700 };
    /// Size from which an append of the leader takes no further records. Below the largest call that the store accepts.
    std::size_t appendBytes = 1'048'576;
    /// Bytes of a stored record beside its key and its value.
    std::size_t recordOverhead = 5;
    /// Timeout of the append of a submission. A caller waits some seconds and needs time to try another instance.
    std::chrono::milliseconds submitTimeout { 700 };
    /// After a change that the store did not confirm, other changes are refused at once for this long, unless the store
    /// responds earlier.
    std::chrono::milliseconds storeSuspicionTime { 400 };
    /// Long-poll wait of a journal read. Together with readTimeout below staleAfter, so that one lost response does not
    /// make the view stale.
    std::chrono::milliseconds journalWait { 400 };
    /// Long-poll wait of a directory or configuration read. A read without a response costs this, the read timeout and
    /// the retry delay; the sum stays below the 2 s in which a configuration version or a leaving worker must be known.
    std::chrono::milliseconds directoryWait { 900 };
    /// Minimum time between two journal reads of the leader, which delays the start of a job that another instance
    /// accepted.
    std::chrono::milliseconds leaderReadInterval { 25 };
    /// The same for followers, which read at once when a query needs it. Longer, because every follower bears the cost
    /// of its reads.
    std::chrono::milliseconds followerReadInterval { 300 };
    /// Longest wait of a query for the read that brings its result up to date.
    std::chrono::milliseconds queryRefreshTimeout { 40 };
    /// Minimum time between two directory reads. Workers write often, but their entries seldom change.
    std::chrono::milliseconds directoryReadInterval { 400 };
    /// Timeout of a read, beyond its long-poll wait, until its response begins; also the longest pause within a
    /// response.
    std::chrono::milliseconds readTimeout { 600 };
    /// The same for one page of a listing, to which a slow store responds late and which cannot be split.
    std::chrono::milliseconds listTimeout { 2'000 };
    /// No task starts if the leader's view of the directory is older than this, because a worker's capacity may have
    /// shrunk since. Above the 2.05 s that a lost response costs. With the readTimeout by which a response may be late,
    /// below the 3 s in which a smaller capacity must be known.
    std::chrono::milliseconds directoryStaleAfter { 2'200 };
    /// Time after an operator's request from which nothing may start in an evacuated data centre; 0 for no limit. With
    /// a limit, nothing starts from a view of the operator's stream that is too old to keep it.
    std::chrono::milliseconds evacuationLimit { 0 };
    /// Delay before a failed call to the store is retried. That of a reader doubles with each failure up to the
    /// maximum.
    std::chrono::milliseconds storeRetryDelay { 150 };
    std::chrono::milliseconds maximumStoreRetryDelay { 600 };
    /// Limit of the records in a response to a read of the journal. All readers share the store's bandwidth, and a
    /// response must begin within the readTimeout while every other one reads as much.
    std::size_t journalReadBytes = 65'536;
    /// The instance is not ready if its view of the journal is older than this.
    std::chrono::milliseconds staleAfter { 1'200 };
    /// Lease of the tasks on a worker.
    std::chrono::milliseconds workerLease { 4'500 };
    /// Longest lease that workers grant. A worker that has restarted shortens a lease to it that was meant for the
    /// clock of its last incarnation.
    std::chrono::milliseconds longestWorkerLease { 6'000 };
    /// Long-poll wait of an observe request: the worker responds earlier if a run ends.
    std::chrono::milliseconds observeWait { 1'000 };
    /// Timeout of a stop or observe request, beyond the wait.
    std::chrono::milliseconds requestTimeout { 700 };
    /// Timeout of one start request. A start is retried with its run number, which the worker recognises, so a short
    /// timeout costs one more request and lets a gang start although one of its requests was delayed.
    std::chrono::milliseconds startTimeout { 300 };
    /// A start without a response is retried for this long, and its run is then stopped. Below gangStartTimeout.
    std::chrono::milliseconds startRetryLimit { 1'500 };
    /// Delay before an observe or stop request without a response is retried.
    std::chrono::milliseconds requestRetryDelay { 250 };
    /// Safety margin added to the computed lease end of an unresponsive worker.
    std::chrono::milliseconds leaseMargin { 300 };
    /// Share by which a worker's clock may run slow.
    double maximumClockDrift = 0.02;
    /// Longest time that a worker takes to stop a task.
    std::chrono::milliseconds stopGrace { 1'000 };
    /// A gang of which not all members have started after this is stopped. Below the workers' own timeout.
    std::chrono::milliseconds gangStartTimeout { 2'200 };
    /// Time in which a worker that could not execute a start gets no new work.
    std::chrono::milliseconds refusalBackoff { 1'500 };
    /// A worker that returns within this time after its lease expired has crashed; later, it may have been shut down.
    std::chrono::milliseconds crashReturnLimit { 30'000 };
    /// Time after the start of a task under which a worker has crashed when the worker is observed. A task that crashes
    /// its workers does so within some milliseconds.
    std::chrono::milliseconds suspectObserveDelay { 50 };
    /// Time within which restarts of workers with a common cause become known: the wait of an observe request, its
    /// timeout and the retry. A task that seems to have crashed its worker waits this long before it is given up.
    std::chrono::milliseconds crashSettleTime { 2'000 };
    /// Longest wait of a task that may crash its workers for a worker on which no other run is starting.
    std::chrono::milliseconds isolationWait { 1'500 };
    /// Shortest time between two planning rounds.
    std::chrono::milliseconds planInterval { 20 };
    /// Minimum time between two planning rounds as a multiple of the duration of the last one, so that a leader with
    /// few processors for many workers has time for its other work.
    int planIdleFactor = 4;
    /// Interval of planning rounds without an event; plans also depend on how long units have waited.
    std::chrono::milliseconds planRefreshInterval { 400 };
    /// Time without a sign that runs on lent capacity delay a step, after which the next delay counts from its begin.
    std::chrono::milliseconds delayMemory { 1'000 };
    /// A new leader preempts nothing for this long, unless all workers have responded before. Until then it knows few
    /// workers, and would stop whatever runs there.
    std::chrono::milliseconds takeoverSettleTime { 500 };
    /// Memory for the accepted jobs that have not ended, in bytes.
    std::size_t jobMemoryBytes = 67'108'864;
    /// How early an occurrence may start before its due time.
    std::chrono::milliseconds earlyStart { 0 };
    /// Consecutive failures of different jobs after which a worker is quarantined, and the duration of a quarantine.
    WorkerQuarantine::Options quarantine {
        .failures = 3,
        .duration = std::chrono::seconds(8),
        .maximumDuration = std::chrono::minutes(10),
    };
    /// Cancellations of unknown jobs that are kept at once; further ones are refused. About 100 bytes each.
    std::size_t maximumUnknownCancellations = 16'384;
    /// Time for which such a cancellation is kept. Far above the seconds by which the store or a suspended instance may
    /// delay the submission that it cancels.
    std::chrono::milliseconds unknownCancellationRetention { 600'000 };
    /// Time between two searches for cancellations to remove.
    std::chrono::milliseconds pruneInterval { 1'000 };
    /// Longest wait of a query or cancellation for the read that shows whether an unknown job exists. Covers a long
    /// poll of the journal that is in flight and the read that follows it.
    std::chrono::milliseconds lookupTimeout { 600 };
};

} // namespace lentilsaddle::coordination::batch
