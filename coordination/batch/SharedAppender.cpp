#include "coordination/batch/SharedAppender.h"

#include "transport/Logger.h"

#include <utility>

namespace lentilsaddle::coordination::batch {

using std::chrono::milliseconds;
using transport::LogLevel;
using transport::writeLog;
using Status = AppendResult::Status;

namespace {

    constexpr int maximumAttempts = 2;

} // namespace

SharedAppender::SharedAppender(const JournalHooks& journal, const BatchOptions& options, Hooks hooks)
    : m_journal(journal)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

SharedAppender::~SharedAppender() = default;

void SharedAppender::append(Append append)
{
    if (!storeSuspected()) {
        send(append, m_options.submitTimeout, maximumAttempts);
        return;
    }
    Status status = m_unconfirmed.contains(append.record.key) ? Status::Unknown : Status::NotStored;
    writeLog(LogLevel::Warning, "store", "append skipped because the store is unresponsive",
        { { "key", append.record.key }, { "status", appendStatusName(status) } });
    append.reply(status);
}

bool SharedAppender::storeSuspected() const
{
    bool unconfirmedAppend = m_suspectedUntil && m_hooks.clock() < *m_suspectedUntil;
    return unconfirmedAppend || !m_hooks.journalReachable();
}

void SharedAppender::onStoreResponse()
{
    m_suspectedUntil.reset();
}

void SharedAppender::onRecordRead(const std::string& key)
{
    m_unconfirmed.erase(key);
}

void SharedAppender::send(const Append& append, milliseconds timeout, int attempts)
{
    AppendRequest request { .records = { append.record }, .timeout = timeout };
    m_journal.append(request,
        [this, append, timeout, attempts, sent = m_hooks.clock(), alive = std::weak_ptr(m_alive)](
            const AppendResult& result) {
            if (alive.expired())
                return;
            auto elapsed = std::chrono::ceil<milliseconds>(m_hooks.clock() - sent);
            onResult(append, result, timeout - elapsed, attempts);
        });
}

void SharedAppender::onResult(const Append& append, const AppendResult& result, milliseconds remaining, int attempts)
{
    const std::string& key = append.record.key;
    if (result.status == Status::Stored) {
        m_unconfirmed.erase(key);
        m_suspectedUntil.reset();
        append.reply(Status::Stored);
        return;
    }
    writeLog(LogLevel::Warning, "store", "append not confirmed",
        { { "key", key }, { "status", appendStatusName(result.status) }, { "error", result.error } });
    if (result.status == Status::Unknown)
        m_unconfirmed.insert(key);
    // A connection that the store has closed leaves time for another attempt, an unresponsive store does not.
    bool repeat = result.status == Status::Unknown && attempts > 1 && remaining >= m_options.submitTimeout / 2;
    if (repeat) {
        send(append, remaining, attempts - 1);
        return;
    }
    m_suspectedUntil = m_hooks.clock() + m_options.storeSuspicionTime;
    append.reply(m_unconfirmed.contains(key) ? Status::Unknown : result.status);
}

} // namespace lentilsaddle::coordination::batch
