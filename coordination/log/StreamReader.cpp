#include "coordination/log/StreamReader.h"

#include "protocol/ProtocolError.h"
#include "protocol/RecordCodec.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using protocol::LogClient;

StreamReader::StreamReader(transport::EventLoop& loop, const LogTaskOptions& options, Hooks hooks)
    : m_loop(loop)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

StreamReader::~StreamReader()
{
    *m_alive = false;
    m_loop.cancelTimer(m_retryTimer);
}

void StreamReader::retryNow()
{
    if (m_retryTimer == 0)
        return;
    m_loop.cancelTimer(m_retryTimer);
    m_retryTimer = 0;
    read();
}

void StreamReader::read()
{
    // Until the end of the stream is reached, the service must answer at once, so that an empty answer shows the end.
    // The same holds for the first read after a failure, whose answer shows that the service is back.
    bool useLongPoll = m_following && m_failures == 0;
    auto wait = useLongPoll ? m_options.longPollTimeout : std::chrono::milliseconds(0);
    m_hooks.read(m_offset, wait, [this, alive = m_alive](const LogClient::ReadResult& result) {
        if (*alive)
            onReadResult(result);
    });
}

void StreamReader::scheduleRetry()
{
    ++m_failures;
    m_retryTimer = m_loop.startTimer(retryDelay(m_options.backoff, m_failures, m_hooks.random()), [this] {
        m_retryTimer = 0;
        read();
    });
}

void StreamReader::onReadResult(const LogClient::ReadResult& result)
{
    bool expired = result.status == LogClient::ReadResult::Status::Expired;
    // An expired answer that names no later offset would be repeated for ever.
    bool succeeded
        = result.status == LogClient::ReadResult::Status::Records || (expired && result.oldestOffset > m_offset);
    m_hooks.onRead(succeeded);
    if (!succeeded) {
        scheduleRetry();
        return;
    }
    m_failures = 0;
    if (expired)
        skipTo(result.oldestOffset);
    else
        deliver(result);
    read();
}

void StreamReader::skipTo(state::LogOffset oldest)
{
    m_offset = oldest;
    m_gap = true;
    m_following = false;
}

void StreamReader::deliver(const LogClient::ReadResult& result)
{
    state::LogOffset first = result.records.empty() ? m_offset : result.records.front().offset;
    if (first > m_offset)
        skipTo(first);
    bool reachedEnd = m_following ? result.records.size() < m_options.maximumReadRecords : result.records.empty();
    // An empty long poll tells the subscriber nothing new.
    bool notify = !result.records.empty() || m_gap || reachedEnd != m_following;
    m_following = reachedEnd;

    state::StreamBatch batch {
        .entries = {}, .firstOffset = m_offset, .nextOffset = m_offset, .gap = m_gap, .caughtUp = reachedEnd
    };
    for (const LogClient::EncodedRecord& record : result.records) {
        try {
            batch.entries.push_back({ .offset = record.offset, .record = protocol::decodeRecord(record.bytes) });
        } catch (const protocol::ProtocolError& error) {
            m_hooks.onSkipped(record.offset, error.what());
        }
        batch.nextOffset = std::max(batch.nextOffset, record.offset + 1);
    }
    batch.nextOffset = std::max(batch.nextOffset, result.nextOffset);
    m_offset = batch.nextOffset;
    m_gap = false;
    if (notify)
        m_hooks.onBatch(std::move(batch));
}

} // namespace lentilsaddle::coordination
