/// @file
/// Append queue of one log stream.
#pragma once

#include "coordination/log/LogMessage.h"
#include "coordination/log/LogTaskOptions.h"
#include "protocol/LogClient.h"
#include "transport/EventLoop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Batches the records of one stream and keeps at most one append in flight. Belongs to the loop's thread.
///
/// A batch that failed is sent again with the same records, so the stream may hold a record more than once.
class StreamAppender {
public:
    struct Entry {
        std::string bytes;
        state::Origin origin;
        state::MonotonicTime deadline;
        std::function<void(LogMessage::AppendResult)> onResult;
        /// An append that held the record may have reached the service.
        bool possiblySent = false;
        bool reported = false;
    };

    struct Hooks {
        state::MonotonicClock clock;
        std::function<std::uint64_t()> random;
        /// Sends one append; calls back later, never within the call.
        std::function<void(const std::vector<std::string>& records, protocol::LogClient::AppendCallback callback)> send;
        /// Called with the result of each record.
        std::function<void(LogMessage::AppendStatus)> onRecordResult;
    };

    StreamAppender(transport::EventLoop& loop, const LogTaskOptions& options, Hooks hooks);
    ~StreamAppender();
    StreamAppender(const StreamAppender&) = delete;
    StreamAppender& operator=(const StreamAppender&) = delete;

    /// Queues a record. Its result is reported once.
    void add(Entry entry);

    /// Ends a back-off early, because the service is reachable again.
    void retryNow();

private:
    void scheduleSend();
    void send();
    void fillBatch();
    void onAppendResult(const protocol::LogClient::AppendResult& result);
    void requeueBatch(bool possiblySent);
    void armDeadlineTimer(state::MonotonicTime deadline);
    void expire();
    void reportResult(Entry& entry, LogMessage::AppendStatus status);

    transport::EventLoop& m_loop;
    LogTaskOptions m_options;
    Hooks m_hooks;
    std::deque<Entry> m_queue;
    std::vector<Entry> m_inFlight;
    state::MonotonicTime m_earliestSend;
    transport::EventLoop::TimerId m_sendTimer = 0;
    transport::EventLoop::TimerId m_deadlineTimer = 0;
    state::MonotonicTime m_nextDeadline = state::MonotonicTime::max();
    int m_failures = 0;
    /// Lets an answer that comes after the destruction find out.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination
