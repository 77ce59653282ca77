/// @file
/// Client for the platform's log service.
#pragma once

#include "state/Record.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilsaddle::transport {
class EventLoop;
}

namespace lentilsaddle::protocol {

/// Appends to and reads from the streams of the log service over HTTP. All methods must be called on the loop's thread.
class LogClient {
public:
    /// Encoded record with its offset in the stream.
    struct EncodedRecord {
        state::LogOffset offset = 0;
        std::string bytes;
    };

    struct AppendResult {
        enum class Status {
            Appended,
            /// No byte of the request was sent.
            NotSent,
            /// The append may have taken effect.
            Unresolved,
        };
        Status status = Status::Unresolved;
        /// Offset of the first record if appended.
        state::LogOffset firstOffset = 0;
        /// Human-readable error message if not appended.
        std::string error;
    };

    struct ReadResult {
        enum class Status {
            Records,
            /// The record at the offset has expired; oldestOffset is the offset of the first record that is still
            /// stored.
            Expired,
            Failed,
        };
        Status status = Status::Failed;
        std::vector<EncodedRecord> records;
        /// Offset to read next.
        state::LogOffset nextOffset = 0;
        state::LogOffset oldestOffset = 0;
        /// Human-readable error message if failed.
        std::string error;
    };

    using AppendCallback = std::function<void(AppendResult)>;
    using ReadCallback = std::function<void(ReadResult)>;

    /// @param platformUrl base URL of the platform, without a trailing slash.
    LogClient(transport::EventLoop& loop, std::string platformUrl);

    /// Cancels all calls in flight; their callbacks do not run.
    ~LogClient();

    /// Appends records in one call.
    /// @param timeout time limit of the whole call.
    void append(const std::string& stream, const std::vector<std::string>& records, std::chrono::milliseconds timeout,
        AppendCallback callback);

    /// Reads records, starting at an offset.
    /// @param maximumRecords maximum number of records in the response.
    /// @param wait time that the service may delay the response until there is a record; 0 means no delay.
    /// @param timeout limit of the time until the response begins, in addition to wait, and of each pause within it.
    void read(const std::string& stream, state::LogOffset offset, std::size_t maximumRecords,
        std::chrono::milliseconds wait, std::chrono::milliseconds timeout, ReadCallback callback);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::protocol
