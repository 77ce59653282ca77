/// @file
/// Options of SchedulerTask.
#pragma once

#include <chrono>
#include <string>

namespace lentilsaddle::coordination {

struct SchedulerTaskOptions {
    /// Base URL of the platform, without a trailing slash.
    std::string platformUrl;
    std::chrono::milliseconds leaseTtl { 30'000 };
    std::chrono::milliseconds renewInterval { 10'000 };
    /// The holder treats a lease as expired this long before its expiry.
    std::chrono::milliseconds leaseMargin { 2'000 };
    std::chrono::milliseconds checkpointLimit { 2'500 };
    /// How long a scheduler that cannot reach the log may continue to start repeatable jobs.
    std::chrono::milliseconds isolationLimit { std::chrono::hours(2) };
    /// Timeout of each call to a worker.
    std::chrono::milliseconds workerTimeout { 2'000 };
    /// Delay between the claims of successive candidates in an election.
    std::chrono::milliseconds electionRankDelay { 1'000 };
    /// How long a new scheduler may be missing from the instance list, which lags behind, before it counts as failed.
    std::chrono::milliseconds unlistedDelay { 10'000 };
    /// How long the log task retries the append of a record.
    std::chrono::milliseconds appendTimeout { 4'000 };
    /// Time after which a submission or cancellation whose record was not read back gets an Unknown response.
    std::chrono::milliseconds responseTimeout { 6'000 };
    std::chrono::milliseconds workerListInterval { 60'000 };
    /// Delay before the fence of an unresponsive worker is retried.
    std::chrono::milliseconds fenceRetryInterval { 5'000 };
    /// How long a quarantined worker gets no job before it is probed.
    std::chrono::milliseconds quarantineDuration { 60'000 };
    /// How long a drain waits for attempts that are being stopped; an unreachable worker would delay it by a lease TTL.
    std::chrono::milliseconds drainTimeout { 5'000 };
    /// Number of records between two snapshots.
    int recordsPerSnapshot = 1'000;
    /// Age of the last snapshot at which the next one is due. A stream with little traffic would otherwise lose its
    /// oldest records to the log's retention before 1,000 more are appended.
    std::chrono::milliseconds maximumSnapshotAge = std::chrono::hours(6);
};

} // namespace lentilsaddle::coordination
