/// @file
/// Settings of SchedulerTask.
#pragma once

#include <chrono>
#include <string>

namespace lentilsaddle::coordination {

struct SchedulerTaskOptions {
    /// Base URL of the platform, without a trailing slash.
    std::string platformUrl;
    std::chrono::milliseconds leaseTtl { 30'000 };
    std::chrono::milliseconds renewInterval { 10'000 };
    /// The holder stops counting on a lease this much before its end.
    std::chrono::milliseconds leaseMargin { 2'000 };
    std::chrono::milliseconds checkpointLimit { 2'500 };
    /// How long a scheduler that cannot reach the log may go on starting repeatable jobs.
    std::chrono::milliseconds isolationLimit { std::chrono::hours(2) };
    /// Limit of each call to a worker.
    std::chrono::milliseconds workerTimeout { 2'000 };
    /// Time that each candidate for the scheduler role waits for the one before it.
    std::chrono::milliseconds electionRankDelay { 1'000 };
    /// How long the instance list may lag behind a new scheduler before it counts as gone.
    std::chrono::milliseconds unlistedDelay { 10'000 };
    /// How long the log task tries to append a record.
    std::chrono::milliseconds appendTimeout { 4'000 };
    /// When a submission or cancellation whose record was not read back is answered as unknown.
    std::chrono::milliseconds responseTimeout { 6'000 };
    std::chrono::milliseconds workerListInterval { 60'000 };
    /// Pause before a worker that did not answer the fence is asked again.
    std::chrono::milliseconds fenceRetryInterval { 5'000 };
    /// How long a worker that fails everything gets no job before it is probed.
    std::chrono::milliseconds quarantineDuration { 60'000 };
    /// How long a drain waits for attempts that are being stopped; an unreachable worker would delay it by a lease
    /// term.
    std::chrono::milliseconds drainTimeout { 5'000 };
    /// Records between two snapshots.
    int recordsPerSnapshot = 1'000;
    /// Age of the last snapshot at which the next one is due. A quiet stream would else lose its oldest records to the
    /// log's retention before 1,000 others follow.
    std::chrono::milliseconds maximumSnapshotAge = std::chrono::hours(6);
};

} // namespace lentilsaddle::coordination
