/// @file
/// Adapter of the platform's log service.
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

/// Appends to and reads from the streams of the log service over HTTP. All calls belong to the loop's thread.
class LogClient {
public:
    /// Encoded record with its place in the stream.
    struct EncodedRecord {
        state::LogOffset offset = 0;
        std::string bytes;
    };

    struct AppendResult {
        enum class Status {
            Appended,
            /// No byte of the append was sent.
            NotSent,
            /// The append may have taken effect.
            Unresolved,
        };
        Status status = Status::Unresolved;
        /// Offset of the first record if appended.
        state::LogOffset firstOffset = 0;
        /// Text for people if not appended.
        std::string error;
    };

    struct ReadResult {
        enum class Status {
            Records,
            /// The offset has expired; oldestOffset names the first record that is kept.
            Expired,
            Failed,
        };
        Status status = Status::Failed;
        std::vector<EncodedRecord> records;
        /// Offset to read next.
        state::LogOffset nextOffset = 0;
        state::LogOffset oldestOffset = 0;
        /// Text for people if failed.
        std::string error;
    };

    using AppendCallback = std::function<void(AppendResult)>;
    using ReadCallback = std::function<void(ReadResult)>;

    /// @param platformUrl base URL of the platform, without a trailing slash.
    LogClient(transport::EventLoop& loop, std::string platformUrl);

    /// Drops all calls in flight without calling back.
    ~LogClient();

    /// Appends records in one call.
    /// @param timeout limit for the whole call.
    void append(const std::string& stream, const std::vector<std::string>& records, std::chrono::milliseconds timeout,
        AppendCallback callback);

    /// Reads records from an offset on.
    /// @param maximum number of records in the answer.
    /// @param wait time that the service may hold the answer back until there is a record; 0 answers at once.
    /// @param timeout limit for the call beyond the wait.
    void read(const std::string& stream, state::LogOffset offset, std::size_t maximum, std::chrono::milliseconds wait,
        std::chrono::milliseconds timeout, ReadCallback callback);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::protocol
