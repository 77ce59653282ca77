#include "coordination/batch/KeyedReader.h"

#include "transport/EventLoop.h"

#include <utility>

namespace lentilsaddle::coordination::batch {

KeyedReader::KeyedReader(transport::EventLoop& loop, const JournalHooks& journal, const Options& options, Hooks hooks)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

KeyedReader::~KeyedReader() = default;

void KeyedReader::start()
{
    m_listing.clear();
    m_listingEnd.reset();
    list("");
}

void KeyedReader::list(const std::string& afterKey)
{
    m_journal.newest(
        m_options.stream, afterKey, m_options.timeout, [this, alive = std::weak_ptr(m_alive)](NewestResult result) {
            if (!alive.expired())
                onNewest(std::move(result));
        });
}

void KeyedReader::onNewest(NewestResult result)
{
    if (!result.ok) {
        retryLater([this] { start(); }, result.error);
        return;
    }
    // The pages are no snapshot: what changes meanwhile follows the end that the first page told.
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
    noteReachable();
    m_hooks.onListing(listing);
    read();
}

void KeyedReader::read()
{
    m_journal.read(m_options.stream, m_position, m_options.wait, m_options.wait + m_options.timeout,
        [this, alive = std::weak_ptr(m_alive)](const ReadResult& result) {
            if (!alive.expired())
                onRead(result);
        });
}

void KeyedReader::onRead(const ReadResult& result)
{
    switch (result.status) {
    case ReadResult::Status::Failed:
        retryLater([this] { read(); }, result.error);
        return;
    case ReadResult::Status::Expired:
        start();
        return;
    case ReadResult::Status::Ok:
        break;
    }
    noteReachable();
    m_position = result.next;
    if (!result.records.empty())
        m_hooks.onRecords(result.records);
    // An answer that does not reach the end of the stream says nothing of what follows.
    if (m_position >= result.end)
        m_currentAsOf = m_hooks.clock();
    m_hooks.onCurrent();
    std::chrono::milliseconds pace = m_hooks.pace();
    if (result.records.empty() || pace.count() == 0)
        read();
    else
        callLater(pace, [this] { read(); });
}

void KeyedReader::noteReachable()
{
    if (m_reachable == true)
        return;
    m_reachable = true;
    m_hooks.onReachability(true, "");
}

void KeyedReader::retryLater(const std::function<void()>& call, const std::string& error)
{
    if (m_reachable != false) {
        m_reachable = false;
        m_hooks.onReachability(false, error);
    }
    callLater(m_options.retry, call);
}

void KeyedReader::callLater(std::chrono::milliseconds delay, const std::function<void()>& call)
{
    m_loop.startTimer(delay, [call, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            call();
    });
}

} // namespace lentilsaddle::coordination::batch
