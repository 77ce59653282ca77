/// @file
/// Follows one log stream.
#pragma once

#include "coordination/log/LogTaskOptions.h"
#include "protocol/LogClient.h"
#include "state/StreamBatch.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lentilsaddle::coordination {

/// Reads a stream from its oldest record, then follows it by long poll. Belongs to the loop's thread.
class StreamReader {
public:
    struct Hooks {
        std::function<std::uint64_t()> random;
        /// Sends one read; calls back later, never within the call.
        std::function<void(
            state::LogOffset offset, std::chrono::milliseconds wait, protocol::LogClient::ReadCallback callback)>
            read;
        std::function<void(state::StreamBatch)> onBatch;
        /// Called after each read with whether it succeeded.
        std::function<void(bool succeeded)> onRead;
        /// Called for a record that cannot be decoded.
        std::function<void(state::LogOffset offset, const std::string& error)> onSkipped;
    };

    StreamReader(transport::EventLoop& loop, const LogTaskOptions& options, Hooks hooks);
    ~StreamReader();
    StreamReader(const StreamReader&) = delete;
    StreamReader& operator=(const StreamReader&) = delete;

    /// Sends the first read.
    void start() { read(); }

    /// Ends a back-off early, because the service is reachable again.
    void retryNow();

private:
    void read();
    void scheduleRetry();
    void onReadResult(const protocol::LogClient::ReadResult& result);
    void skipTo(state::LogOffset oldest);
    void deliver(const protocol::LogClient::ReadResult& result);

    transport::EventLoop& m_loop;
    LogTaskOptions m_options;
    Hooks m_hooks;
    state::LogOffset m_offset = 0;
    /// Records before m_offset have expired unread, and no batch has said so yet.
    bool m_gap = false;
    /// The last read reached the end of the stream, so the next one is a long poll.
    bool m_following = false;
    int m_failures = 0;
    transport::EventLoop::TimerId m_retryTimer = 0;
    /// Lets an answer that comes after the destruction find out.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination
