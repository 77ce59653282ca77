#include "coordination/log/RecordOutbox.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination {

namespace {

    /// Keeps a failing log from being asked in a loop.
    constexpr std::chrono::milliseconds retryDelay { 1'000 };

} // namespace

RecordOutbox::RecordOutbox(Append append, state::MonotonicClock clock)
    : m_append(std::move(append))
    , m_clock(std::move(clock))
{
}

void RecordOutbox::enqueue(const std::string& key, const state::Record::Body& body)
{
    auto [entry, added] = m_entries.try_emplace(key, Entry { .body = body, .sentAt = {}, .order = m_nextOrder });
    if (!added)
        return;
    ++m_nextOrder;
    send(key, entry->second);
}

void RecordOutbox::send(const std::string& key, Entry& entry)
{
    entry.sentAt = m_clock();
    entry.inFlight = true;
    m_append(key, entry.body);
}

void RecordOutbox::setResult(const std::string& key, LogMessage::AppendStatus status)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    found->second.inFlight = false;
    found->second.retryAt = m_clock() + retryDelay;
    found->second.appended = status == LogMessage::AppendStatus::Appended;
    if (found->second.appended)
        updateLastConfirmed(found->second.sentAt);
}

void RecordOutbox::remove(const std::string& key)
{
    m_entries.erase(key);
}

void RecordOutbox::retryNow()
{
    for (auto& [key, entry] : m_entries)
        entry.retryAt = m_clock();
}

std::optional<state::MonotonicTime> RecordOutbox::nextRetry() const
{
    std::optional<state::MonotonicTime> next;
    for (const auto& [key, entry] : m_entries) {
        if (!entry.inFlight && !entry.appended)
            next = next ? std::min(*next, entry.retryAt) : entry.retryAt;
    }
    return next;
}

void RecordOutbox::resendDue(state::MonotonicTime now)
{
    std::vector<std::pair<std::size_t, std::string>> waiting;
    for (const auto& [key, entry] : m_entries) {
        if (!entry.inFlight && !entry.appended && now >= entry.retryAt)
            waiting.emplace_back(entry.order, key);
    }
    // A claim must come before the end of its attempt.
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [order, key] : waiting)
        send(key, m_entries.at(key));
}

void RecordOutbox::updateLastConfirmed(state::MonotonicTime time)
{
    m_lastConfirmed = std::max(m_lastConfirmed, time);
}

} // namespace lentilsaddle::coordination
