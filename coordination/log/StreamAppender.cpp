#include "coordination/log/StreamAppender.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentilsaddle::coordination {

using protocol::LogClient;
using std::chrono::ceil;
using std::chrono::microseconds;

StreamAppender::StreamAppender(transport::EventLoop& loop, const LogTaskOptions& options, Hooks hooks)
    : m_loop(loop)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

StreamAppender::~StreamAppender()
{
    *m_alive = false;
    m_loop.cancelTimer(m_sendTimer);
    m_loop.cancelTimer(m_deadlineTimer);
}

void StreamAppender::add(Entry entry)
{
    state::MonotonicTime deadline = entry.deadline;
    m_queue.push_back(std::move(entry));
    armDeadlineTimer(deadline);
    scheduleSend();
}

void StreamAppender::retryNow()
{
    if (m_failures == 0)
        return;
    m_failures = 0;
    m_earliestSend = m_hooks.clock();
    m_loop.cancelTimer(m_sendTimer);
    m_sendTimer = 0;
    scheduleSend();
}

void StreamAppender::scheduleSend()
{
    if (!m_inFlight.empty() || m_queue.empty() || m_sendTimer != 0)
        return;
    auto delay = ceil<microseconds>(m_earliestSend - m_hooks.clock());
    m_sendTimer = m_loop.startTimer(std::max(delay, microseconds(0)), [this] {
        m_sendTimer = 0;
        send();
    });
}

void StreamAppender::send()
{
    expire();
    fillBatch();
    if (m_inFlight.empty())
        return;
    m_earliestSend = m_hooks.clock() + m_options.appendInterval;
    std::vector<std::string> records;
    for (const Entry& entry : m_inFlight)
        records.push_back(entry.bytes);
    m_hooks.send(records, [this, alive = m_alive](const LogClient::AppendResult& result) {
        if (*alive)
            onAppendResult(result);
    });
}

void StreamAppender::fillBatch()
{
    std::size_t bytes = 0;
    while (!m_queue.empty() && m_inFlight.size() < m_options.maximumAppendRecords) {
        bytes += m_queue.front().bytes.size();
        if (bytes > m_options.maximumAppendBytes && !m_inFlight.empty())
            return;
        m_inFlight.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
}

void StreamAppender::onAppendResult(const LogClient::AppendResult& result)
{
    if (result.status == LogClient::AppendResult::Status::Appended) {
        m_failures = 0;
        std::vector<Entry> appended = std::exchange(m_inFlight, {});
        for (Entry& entry : appended)
            reportResult(entry, LogMessage::AppendStatus::Appended);
    } else {
        requeueBatch(result.status != LogClient::AppendResult::Status::NotSent);
        ++m_failures;
        m_earliestSend = m_hooks.clock() + retryDelay(m_options.backoff, m_failures, m_hooks.random());
    }
    expire();
    scheduleSend();
}

void StreamAppender::requeueBatch(bool possiblySent)
{
    std::erase_if(m_inFlight, [](const Entry& entry) { return entry.reported; });
    for (Entry& entry : m_inFlight)
        entry.possiblySent = entry.possiblySent || possiblySent;
    m_queue.insert(m_queue.begin(), std::move_iterator(m_inFlight.begin()), std::move_iterator(m_inFlight.end()));
    m_inFlight.clear();
}

void StreamAppender::armDeadlineTimer(state::MonotonicTime deadline)
{
    if (deadline >= m_nextDeadline)
        return;
    m_loop.cancelTimer(m_deadlineTimer);
    m_nextDeadline = deadline;
    auto delay = ceil<microseconds>(deadline - m_hooks.clock());
    m_deadlineTimer = m_loop.startTimer(std::max(delay, microseconds(0)), [this] {
        m_deadlineTimer = 0;
        expire();
    });
}

void StreamAppender::expire()
{
    state::MonotonicTime now = m_hooks.clock();
    // The answer of an append in flight is still open, so its records may yet come to be in the stream.
    for (Entry& entry : m_inFlight) {
        if (!entry.reported && entry.deadline <= now)
            reportResult(entry, LogMessage::AppendStatus::Unresolved);
    }
    std::deque<Entry> kept;
    for (Entry& entry : m_queue) {
        if (entry.deadline > now)
            kept.push_back(std::move(entry));
        else
            reportResult(entry,
                entry.possiblySent ? LogMessage::AppendStatus::Unresolved : LogMessage::AppendStatus::NotAppended);
    }
    m_queue = std::move(kept);

    m_loop.cancelTimer(m_deadlineTimer);
    m_deadlineTimer = 0;
    m_nextDeadline = state::MonotonicTime::max();
    state::MonotonicTime earliest = m_nextDeadline;
    for (const Entry& entry : m_queue)
        earliest = std::min(earliest, entry.deadline);
    for (const Entry& entry : m_inFlight)
        earliest = entry.reported ? earliest : std::min(earliest, entry.deadline);
    armDeadlineTimer(earliest);
}

void StreamAppender::reportResult(Entry& entry, LogMessage::AppendStatus status)
{
    if (entry.reported)
        return;
    entry.reported = true;
    m_hooks.onRecordResult(status);
    if (entry.onResult)
        entry.onResult({ .status = status, .origin = entry.origin });
}

} // namespace lentilsaddle::coordination
