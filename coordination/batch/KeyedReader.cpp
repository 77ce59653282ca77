#include "coordination/batch/KeyedReader.h"

#include "coordination/batch/BatchOptions.h"
#include "transport/CallbackGuard.h"
#include "transport/EventLoop.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentilsaddle::coordination::batch {

KeyedReader::Options KeyedReader::optionsFor(Stream stream, const BatchOptions& options)
{
    return {
        .stream = stream,
        .wait = stream == Stream::Journal ? options.journalWait : options.directoryWait,
        .timeout = options.readTimeout,
        .listTimeout = options.listTimeout,
        .retryDelay = options.storeRetryDelay,
        .maximumRetryDelay = options.maximumStoreRetryDelay,
        .maximumBytes = stream == Stream::Journal ? options.journalReadBytes : 0,
        .newestOnly = stream == Stream::Configuration,
    };
}

KeyedReader::KeyedReader(transport::EventLoop& loop, const JournalHooks& journal, const Options& options, Hooks hooks)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_readBytes(options.maximumBytes)
{
}

KeyedReader::~KeyedReader()
{
    m_loop.cancelTimer(m_delayedRead);
}

void KeyedReader::start()
{
    m_listing.clear();
    m_listingEnd.reset();
    list("");
}

void KeyedReader::list(const std::string& afterKey)
{
    if (!m_listingEnd)
        m_listingRequested = m_hooks.clock();
    m_journal.newest(
        m_options.stream, afterKey, m_options.listTimeout, [this, alive = std::weak_ptr(m_alive)](NewestResult result) {
            if (!alive.expired())
                onNewest(std::move(result));
        });
}

void KeyedReader::onNewest(NewestResult result)
{
    if (!result.ok) {
        retryLater([this] { list(m_listing.empty() ? "" : m_listing.back().key); }, result.error);
        return;
    }
    // The pages are not one snapshot: changes in the meantime follow the end that the first page reported.
    if (!m_listingEnd)
        m_listingEnd = result.end;
    for (KeyedRecord& record : result.records)
        m_listing.push_back(std::move(record));
    if (result.more && !m_listing.empty()) {
        list(m_listing.back().key);
        return;
    }
    m_position = *m_listingEnd;
    std::vector<KeyedRecord> listing = std::exchange(m_listing, {});
    markReachable();
    // Without the next read, an unexpected error would end the stream.
    if (transport::runGuarded("listing", [&] { m_hooks.onListing(listing); }))
        m_completeAsOf = m_listingRequested;
    else
        m_deliveryFailed = true;
    read();
}

void KeyedReader::read()
{
    m_delayedRead = 0;
    // A waiter, or the check whether the store is reachable again, needs a response now rather than at the next record.
    bool immediate = !m_waiters.empty() || m_reachable == false;
    std::chrono::milliseconds wait = immediate ? std::chrono::milliseconds(0) : m_options.wait;
    ReadRequest request {
        .stream = m_options.stream,
        .from = m_position,
        .wait = wait,
        .timeout = m_options.timeout,
        .maximumBytes = m_readBytes,
    };
    m_journal.read(request, [this, sent = m_hooks.clock(), alive = std::weak_ptr(m_alive)](const ReadResult& result) {
        if (!alive.expired())
            onRead(sent, result);
    });
}

void KeyedReader::refresh(std::chrono::milliseconds limit, std::function<void(bool upToDate)> callback)
{
    m_waiters.push_back({ .id = ++m_lastWaiter, .since = m_hooks.clock(), .callback = std::move(callback) });
    m_loop.startTimer(limit, [this, id = m_lastWaiter, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            expireWaiter(id);
    });
    if (m_delayedRead == 0)
        return;
    m_loop.cancelTimer(m_delayedRead);
    read();
}

void KeyedReader::expireWaiter(std::uint64_t id)
{
    auto waiter = std::find_if(m_waiters.begin(), m_waiters.end(), [id](const Waiter& w) { return w.id == id; });
    if (waiter == m_waiters.end())
        return;
    auto callback = std::move(waiter->callback);
    m_waiters.erase(waiter);
    callback(false);
}

void KeyedReader::completeWaiters(state::MonotonicTime sent)
{
    bool upToDate = !m_deliveryFailed;
    auto current = std::stable_partition(
        m_waiters.begin(), m_waiters.end(), [sent](const Waiter& waiter) { return waiter.since > sent; });
    std::vector<Waiter> served(std::make_move_iterator(current), std::make_move_iterator(m_waiters.end()));
    m_waiters.erase(current, m_waiters.end());
    // The waiters that remain may have been added before the records were stored that failed.
    m_deliveryFailed = m_deliveryFailed && !m_waiters.empty();
    for (const Waiter& waiter : served)
        transport::runGuarded("refresh", [&] { waiter.callback(upToDate); });
}

void KeyedReader::onRead(state::MonotonicTime sent, const ReadResult& result)
{
    switch (result.status) {
    case ReadResult::Status::Failed:
        // The store may be busy with the responses to other readers, also with those that nobody waits for any more.
        m_readBytes = std::max(m_readBytes / 2, std::min(m_options.minimumBytes, m_options.maximumBytes));
        retryLater([this] { read(); }, result.error);
        return;
    case ReadResult::Status::Expired:
        start();
        return;
    case ReadResult::Status::Ok:
        break;
    }
    markReachable();
    m_readBytes = std::min(m_readBytes * 2, m_options.maximumBytes);
    m_position = result.next;
    if (!result.records.empty() && !transport::runGuarded("records", [&] { m_hooks.onRecords(result.records); }))
        m_deliveryFailed = true;
    // A response that does not reach the end of the stream lacks the records that follow.
    if (m_position >= result.end) {
        m_currentAsOf = m_hooks.clock();
        m_completeAsOf = sent;
        completeWaiters(sent);
    }
    transport::runGuarded("read", m_hooks.afterRead);
    bool behind = m_position < result.end;
    if (m_options.newestOnly && m_position + 1 < result.end)
        start();
    else if (result.records.empty() || behind || !m_waiters.empty())
        read();
    else
        readAfter(m_hooks.readInterval());
}

void KeyedReader::readAfter(std::chrono::milliseconds readInterval)
{
    if (readInterval.count() == 0) {
        read();
        return;
    }
    m_delayedRead = m_loop.startTimer(readInterval, [this] { read(); });
}

void KeyedReader::markReachable()
{
    if (m_reachable == true)
        return;
    m_reachable = true;
    reportReachability();
    m_failedCalls = 0;
    m_lastError.clear();
}

void KeyedReader::reportReachability()
{
    state::MonotonicTime begin = m_failedCalls == 0 ? m_hooks.clock() : m_firstFailure;
    m_hooks.onReachability({
        .reachable = m_reachable == true,
        .failedCalls = m_failedCalls,
        .outage = std::chrono::duration_cast<std::chrono::milliseconds>(m_hooks.clock() - begin),
        .error = m_lastError,
    });
}

void KeyedReader::retryLater(const std::function<void()>& call, const std::string& error)
{
    state::MonotonicTime now = m_hooks.clock();
    m_lastError = error;
    if (m_failedCalls++ == 0)
        m_firstFailure = now;
    if (m_reachable != false || now - m_lastReport >= m_options.outageReportInterval) {
        m_reachable = false;
        m_lastReport = now;
        reportReachability();
    }
    callLater(nextRetryDelay(), call);
}

std::chrono::milliseconds KeyedReader::nextRetryDelay() const
{
    std::chrono::milliseconds delay = m_options.retryDelay;
    for (int failure = 1; failure < m_failedCalls && delay < m_options.maximumRetryDelay; ++failure)
        delay *= 2;
    delay = std::max(m_options.retryDelay, std::min(delay, m_options.maximumRetryDelay));
    // The second half of the delay is random, so that readers which failed together do not return together.
    auto half = static_cast<std::uint64_t>(delay.count() / 2);
    return delay - std::chrono::milliseconds(m_hooks.random() % (half + 1));
}

void KeyedReader::callLater(std::chrono::milliseconds delay, const std::function<void()>& call)
{
    m_loop.startTimer(delay, [call, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            call();
    });
}

} // namespace lentilsaddle::coordination::batch
