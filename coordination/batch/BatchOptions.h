/// @file
/// Limits of the batch part.
#pragma once

#include <chrono>

namespace lentilsaddle::coordination::batch {

/// docs/configuration.md gives the settings that set some of them.
struct BatchOptions {
    /// Authority of the leader after it sent an append that was acknowledged. Below takeoverDelay.
    std::chrono::milliseconds leaderLease { 1'500 };
    /// How long after the end of its authority a leader that no other has replaced goes on renewing the workers'
    /// leases, so that an outage of the store does not end what runs. It starts nothing in that time.
    std::chrono::milliseconds renewalGrace { 3'500 };
    /// Silence of the leader after which others claim. Covers the leader's lease and the time of a read.
    std::chrono::milliseconds failoverDelay { 2'000 };
    /// Upper bound of the random delay before a claim, so that instances seldom claim together.
    std::chrono::milliseconds claimJitter { 150 };
    /// How long an instance leaves a claim to others with more processors. Covers the followers' pace, by which these
    /// may have seen the last sign of the leader later, the spread of their claims, and a store call.
    std::chrono::milliseconds outrankedDelay { 500 };
    /// Processors of this instance, in thousandths; 0 if unknown.
    int processors = 0;
    /// Delay before an announcement that was not confirmed is repeated.
    std::chrono::milliseconds announceRetryDelay { 1'000 };
    /// The leader appends a sign of life when it has written nothing for this long. A third of the lease.
    std::chrono::milliseconds heartbeatInterval { 500 };
    /// Limit of an append. Two appends fit into the leader's lease.
    std::chrono::milliseconds appendTimeout { 700 };
    /// Limit of the append of a submission: a caller waits some seconds and needs time to ask another instance.
    std::chrono::milliseconds submitTimeout { 700 };
    /// After a change that the store did not confirm, other changes are refused at once for this long, unless the store
    /// answers before.
    std::chrono::milliseconds storeSuspicion { 400 };
    /// Long poll of the journal. With the read timeout below staleAfter, so that one lost answer does not matter.
    std::chrono::milliseconds journalWait { 400 };
    /// Long poll of the directory and the configuration. A poll that the store swallows costs this, the read timeout
    /// and the retry delay; the sum stays below the 2 s in which a version or a leaving worker must be known.
    std::chrono::milliseconds directoryWait { 900 };
    /// Least time between two reads of the journal by the leader, which delays the start of a job that another instance
    /// accepted.
    std::chrono::milliseconds leaderReadInterval { 25 };
    /// The same for other instances, which read at once when a query needs it. Each read is paid for by every instance.
    std::chrono::milliseconds followerReadInterval { 300 };
    /// How long a query waits for the read that brings its answer up to date.
    std::chrono::milliseconds queryRefreshTimeout { 40 };
    /// Least time between two reads of the directory. Workers write often and seldom change.
    std::chrono::milliseconds directoryReadInterval { 400 };
    /// Limit of a read beyond its wait.
    std::chrono::milliseconds readTimeout { 600 };
    /// Limit of one page of a listing, which a slow store answers late and which cannot be done in parts.
    std::chrono::milliseconds listTimeout { 2'000 };
    /// Delay before a failed call to the store is repeated.
    std::chrono::milliseconds storeRetryDelay { 150 };
    /// The instance is not ready if its view of the journal is older than this.
    std::chrono::milliseconds staleAfter { 1'200 };
    /// Lease of the tasks on a worker.
    std::chrono::milliseconds workerLease { 4'500 };
    /// How long a worker may wait for an end before it answers an observation.
    std::chrono::milliseconds observeWait { 1'000 };
    /// Limit of an order to a worker.
    std::chrono::milliseconds requestTimeout { 700 };
    /// Limit of one attempt of a start. A start is repeated under its run number, which the worker recognises, so a
    /// short limit costs a call and lets a gang complete although one of its starts was delayed.
    std::chrono::milliseconds startTimeout { 300 };
    /// A start without an answer is repeated for this long, and then stopped. Below gangStartLimit.
    std::chrono::milliseconds startRetryLimit { 1'500 };
    /// Delay before an unanswered observation or stop is repeated.
    std::chrono::milliseconds requestRetryDelay { 250 };
    /// Added to the computed end of a silent worker's lease.
    std::chrono::milliseconds leaseMargin { 300 };
    /// Share by which a worker's clock may run slow.
    double maximumClockDrift = 0.02;
    /// Longest time that a worker takes to stop a task.
    std::chrono::milliseconds stopGrace { 1'000 };
    /// A gang of which not all members have started after this is stopped. Below the workers' own limit.
    std::chrono::milliseconds gangStartTimeout { 2'200 };
    /// Pause of a worker that could not take a start.
    std::chrono::milliseconds refusalBackoff { 1'500 };
    /// Shortest time between two planning rounds.
    std::chrono::milliseconds planInterval { 20 };
    /// Time between two rounds, at least, as a multiple of what the last one took, so that the leader's other work goes
    /// on where it has few processors for many workers.
    int planIdleFactor = 4;
    /// A plan is also made when nothing happens, because waiting times change it.
    std::chrono::milliseconds planRefreshInterval { 400 };
    /// How early an occurrence may start before its due time.
    std::chrono::milliseconds earlyStart { 0 };
    /// Time for which an unknown job is looked for in the tail before a query is answered.
    std::chrono::milliseconds lookupTimeout { 300 };
};

} // namespace lentilsaddle::coordination::batch
