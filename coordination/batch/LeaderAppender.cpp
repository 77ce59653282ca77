#include "coordination/batch/LeaderAppender.h"

#include "transport/CallbackGuard.h"
#include "transport/EventLoop.h"

#include <iterator>
#include <utility>

namespace lentilsaddle::coordination::batch {

LeaderAppender::LeaderAppender(
    transport::EventLoop& loop, const JournalHooks& journal, const BatchOptions& options, Hooks hooks)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

LeaderAppender::~LeaderAppender() = default;

void LeaderAppender::beginTerm(std::uint64_t term, std::uint64_t sequence)
{
    endTerm();
    m_term = term;
    m_sequence = sequence;
}

void LeaderAppender::endTerm()
{
    m_term = 0;
    m_current.reset();
    m_queue.clear();
    m_deferred.clear();
    m_lastConfirmed.reset();
}

void LeaderAppender::append(std::vector<KeyedRecord> records, StoredCallback onStored)
{
    m_queue.push_back({ .records = std::move(records), .onStored = std::move(onStored) });
    if (m_current || m_sendScheduled)
        return;
    // Records that other callbacks of this loop iteration append are sent in the same batch.
    m_sendScheduled = true;
    m_loop.startTimer(std::chrono::microseconds(0), [this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        m_sendScheduled = false;
        if (!m_current)
            sendNext();
    });
}

void LeaderAppender::sendNext()
{
    while (!m_current && !m_queue.empty() && m_term != 0) {
        Batch batch = takeBatch();
        if (batch.records.empty()) {
            completeEmptyBatch(batch);
            continue;
        }
        m_current = std::move(batch);
        send();
    }
}

LeaderAppender::Batch LeaderAppender::takeBatch()
{
    auto sizeOf = [this](const KeyedRecord& record) {
        return record.key.size() + (record.value ? record.value->size() : 0) + m_options.recordOverhead;
    };
    Batch batch;
    std::size_t bytes = 0;
    for (const KeyedRecord& record : m_deferred)
        bytes += sizeOf(record);
    while (!m_queue.empty()) {
        Entry& entry = m_queue.front();
        for (const KeyedRecord& record : entry.records)
            bytes += sizeOf(record);
        if (!batch.records.empty() && bytes > m_options.appendBytes)
            break;
        batch.callbacks.emplace_back(std::move(entry.onStored), batch.records.size());
        std::move(entry.records.begin(), entry.records.end(), std::back_inserter(batch.records));
        m_queue.pop_front();
    }
    if (!batch.records.empty()) {
        std::move(m_deferred.begin(), m_deferred.end(), std::back_inserter(batch.records));
        m_deferred.clear();
    }
    return batch;
}

void LeaderAppender::completeEmptyBatch(const Batch& batch)
{
    for (const auto& [callback, first] : batch.callbacks)
        callback(0);
}

void LeaderAppender::send()
{
    if (!m_current->firstSent)
        m_current->firstSent = m_hooks.clock();
    AppendRequest request {
        .records = m_current->records,
        .writer = Writer { .term = m_term, .sequence = m_sequence },
        .expectedEnd = std::nullopt,
        .timeout = m_options.appendTimeout,
    };
    m_journal.append(request, [this, term = m_term, alive = std::weak_ptr(m_alive)](const AppendResult& result) {
        if (!alive.expired())
            onResult(term, result);
    });
}

void LeaderAppender::onResult(std::uint64_t term, const AppendResult& result)
{
    if (term != m_term)
        return;
    switch (result.status) {
    case AppendResult::Status::Stored: {
        Batch stored = std::move(*m_current);
        m_current.reset();
        ++m_sequence;
        m_lastConfirmed = stored.firstSent;
        for (const auto& callback : stored.callbacks)
            transport::runGuarded("append", [&] { callback.first(result.firstOffset + callback.second); });
        // A callback may have queued records or ended the term.
        if (m_term == term)
            sendNext();
        return;
    }
    case AppendResult::Status::NotStored:
    case AppendResult::Status::Unknown:
        m_loop.startTimer(m_options.storeRetryDelay, [this, term, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired() && term == m_term)
                send();
        });
        return;
    case AppendResult::Status::Fenced:
    case AppendResult::Status::ConditionFailed:
    case AppendResult::Status::OutOfSequence:
        m_hooks.onLeadershipLost(result.error);
        return;
    }
}

} // namespace lentilsaddle::coordination::batch
