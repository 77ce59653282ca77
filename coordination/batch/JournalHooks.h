/// @file
/// Access to the platform's durable streams of keyed records.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

enum class Stream {
    /// Jobs, tasks and the leader; written by the instances.
    Journal,
    /// Workers; written by the workers themselves.
    Directory,
    /// Configuration; written by the operator.
    Configuration,
};

struct KeyedRecord {
    std::string key;
    /// Empty if the key was removed.
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// Fencing token and sequence number, by which the store refuses appends of earlier terms and recognises retries.
struct Writer {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
};

struct AppendRequest {
    std::vector<KeyedRecord> records;
    std::optional<Writer> writer;
    /// The records are stored only if the stream ends at this offset.
    std::optional<std::uint64_t> expectedEnd;
    /// Timeout of the whole call.
    std::chrono::milliseconds timeout { 0 };
};

struct AppendResult {
    enum class Status {
        Stored,
        /// The store reported that nothing was stored, or the request was not sent.
        NotStored,
        /// No response; the records may have been stored or may still be stored.
        Unknown,
        /// A writer of a later term has written.
        Fenced,
        /// The stream does not end at the expected offset.
        ConditionFailed,
        /// The writer's sequence number does not follow the last one.
        OutOfSequence,
    };
    Status status = Status::Unknown;
    /// Offset of the first record, valid if Stored.
    std::uint64_t firstOffset = 0;
    std::string error;
};

/// @return the status as a log value and metric label.
constexpr const char* appendStatusName(AppendResult::Status status)
{
    switch (status) {
    case AppendResult::Status::Stored:
        return "stored";
    case AppendResult::Status::NotStored:
        return "not_stored";
    case AppendResult::Status::Unknown:
        return "unknown";
    case AppendResult::Status::Fenced:
        return "fenced";
    case AppendResult::Status::ConditionFailed:
        return "condition_failed";
    case AppendResult::Status::OutOfSequence:
        return "out_of_sequence";
    }
    return "unknown";
}

struct ReadRequest {
    Stream stream = Stream::Journal;
    /// Offset of the first record.
    std::uint64_t from = 0;
    /// Time for which the store waits for a record.
    std::chrono::milliseconds wait { 0 };
    /// Limits the time from the end of the wait to the first byte of the response, and each pause within the response;
    /// a response may take any time while its bytes arrive.
    std::chrono::milliseconds timeout { 0 };
    /// Limits the records of the response, of which there is at least one; 0 leaves the limit to the store.
    std::size_t maximumBytes = 0;
};

struct ReadResult {
    enum class Status {
        Ok,
        /// The records at the requested offset have expired.
        Expired,
        Failed,
    };
    Status status = Status::Failed;
    std::vector<KeyedRecord> records;
    /// Offset after the last record of the response.
    std::uint64_t next = 0;
    /// End of the stream when the store responded.
    std::uint64_t end = 0;
    std::string error;
};

struct NewestResult {
    bool ok = false;
    std::vector<KeyedRecord> records;
    /// More keys follow the last one.
    bool more = false;
    std::uint64_t end = 0;
    std::string error;
};

/// Calls of one process to the store. Callbacks run later on the calling task's thread.
struct JournalHooks {
    std::function<void(const AppendRequest& request, std::function<void(AppendResult)> reply)> append;
    std::function<void(const ReadRequest& request, std::function<void(ReadResult)> reply)> read;
    /// Lists the newest record of each key after the given key. The timeout applies as for a read.
    std::function<void(Stream stream, const std::string& afterKey, std::chrono::milliseconds timeout,
        std::function<void(NewestResult)> reply)>
        newest;
};

} // namespace lentilsaddle::coordination::batch
