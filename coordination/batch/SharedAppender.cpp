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
    const std::string key = append.record.key;
    if (auto inFlight = m_inFlight.find(key); inFlight != m_inFlight.end()) {
        writeLog(LogLevel::Info, "store", "append joins one in flight", { { "key", key } });
        inFlight->second.appends.push_back(std::move(append));
        return;
    }
    if (storeSuspected()) {
        Status status = m_unconfirmed.contains(key) ? Status::Unknown : Status::NotStored;
        writeLog(LogLevel::Warning, "store", "append skipped because the store is unresponsive",
            { { "key", key }, { "status", appendStatusName(status) } });
        append.reply(status);
        return;
    }
    m_inFlight[key].appends.push_back(std::move(append));
    send(key, m_options.submitTimeout, maximumAttempts);
}

bool SharedAppender::storeSuspected() const
{
    bool unconfirmedAppend = m_suspectedUntil && m_hooks.clock() < *m_suspectedUntil;
    return unconfirmedAppend || !m_hooks.journalReachable();
}

bool SharedAppender::unresolved(const std::string& key) const
{
    return m_inFlight.contains(key) || m_unconfirmed.contains(key);
}

void SharedAppender::onStoreResponse()
{
    m_suspectedUntil.reset();
}

void SharedAppender::onRecordRead(const std::string& key)
{
    m_unconfirmed.erase(key);
    if (auto inFlight = m_inFlight.find(key); inFlight != m_inFlight.end())
        inFlight->second.read = true;
}

void SharedAppender::send(const std::string& key, milliseconds timeout, int attempts)
{
    AppendRequest request { .records = { m_inFlight.at(key).appends.front().record }, .timeout = timeout };
    m_journal.append(request,
        [this, key, timeout, attempts, sent = m_hooks.clock(), alive = std::weak_ptr(m_alive)](
            const AppendResult& result) {
            if (alive.expired())
                return;
            auto elapsed = std::chrono::ceil<milliseconds>(m_hooks.clock() - sent);
            onResult(key, result, timeout - elapsed, attempts);
        });
}

void SharedAppender::onResult(const std::string& key, const AppendResult& result, milliseconds remaining, int attempts)
{
    if (result.status == Status::Stored) {
        m_unconfirmed.erase(key);
        m_suspectedUntil.reset();
        finish(key, Status::Stored);
        return;
    }
    writeLog(LogLevel::Warning, "store", "append not confirmed",
        { { "key", key }, { "status", appendStatusName(result.status) }, { "error", result.error } });
    // An earlier attempt has taken effect, so this refusal is not the outcome.
    if (result.status != Status::Unknown && m_inFlight.at(key).read) {
        finish(key, Status::Stored);
        return;
    }
    if (result.status == Status::Unknown)
        m_unconfirmed.insert(key);
    // A connection that the store has closed leaves time for another attempt, an unresponsive store does not.
    bool repeat = result.status == Status::Unknown && attempts > 1 && remaining >= m_options.submitTimeout / 2;
    if (repeat) {
        send(key, remaining, attempts - 1);
        return;
    }
    m_suspectedUntil = m_hooks.clock() + m_options.storeSuspicionTime;
    finish(key, m_unconfirmed.contains(key) ? Status::Unknown : result.status);
}

void SharedAppender::finish(const std::string& key, Status status)
{
    auto finished = m_inFlight.extract(key);
    for (const Append& append : finished.mapped().appends)
        append.reply(status);
}

} // namespace lentilsaddle::coordination::batch
