/// @file
/// Log of all instances, in memory.
#pragma once

#include "coordination/log/LogMessage.h"
#include "state/Identifier.h"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Delivers each record to all subscribers at once. Safe from any thread.
class FakeLog {
public:
    enum class Fault {
        None,
        /// The append is refused.
        Refuse,
        /// The record is in the log, but the answer is lost.
        LoseResponse,
        /// The record is in the log twice, the second time when releaseDelayed() is called; the answer is lost.
        Duplicate,
        /// The record comes to nothing, and no answer tells so.
        Drop,
        /// The record is not in the log before releaseDelayed() is called, and the answer is lost.
        Late,
    };
    using FaultSelector = std::function<Fault(const state::Record&)>;

    void setFault(FaultSelector selectFault)
    {
        std::lock_guard lock(m_mutex);
        m_selectFault = std::move(selectFault);
    }

    /// @return the hook by which one process posts to its log task.
    std::function<void(LogMessage)> connect(const state::InstanceId& instance, std::uint64_t incarnation)
    {
        return [this, instance, incarnation](LogMessage message) {
            std::lock_guard lock(m_mutex);
            if (auto* append = std::get_if<LogMessage::Append>(&message.body))
                accept(*append, { .instance = instance, .incarnation = incarnation, .sequence = ++m_sequence });
            else if (auto* subscribe = std::get_if<LogMessage::Subscribe>(&message.body))
                accept(*subscribe);
        };
    }

    /// Appends a record of another process.
    void append(const std::string& stream, const state::Record& record)
    {
        std::lock_guard lock(m_mutex);
        add(stream, record);
    }

    void releaseDelayed()
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [stream, record] : m_duplicates)
            add(stream, record);
        m_duplicates.clear();
    }

    /// Delivers nothing to new subscribers until releaseFirstBatches().
    void holdFirstBatches()
    {
        std::lock_guard lock(m_mutex);
        m_holdFirstBatches = true;
    }

    void releaseFirstBatches()
    {
        std::lock_guard lock(m_mutex);
        m_holdFirstBatches = false;
        for (const auto& [stream, onBatch] : m_heldSubscribers) {
            m_subscribers[stream].push_back(onBatch);
            onBatch(batch(m_streams[stream], 0));
        }
        m_heldSubscribers.clear();
    }

    std::vector<state::Record> records(const std::string& stream)
    {
        std::lock_guard lock(m_mutex);
        return m_streams[stream];
    }

    /// Forgets all subscribers, whose tasks are about to end.
    void disconnect()
    {
        std::lock_guard lock(m_mutex);
        m_subscribers.clear();
    }

private:
    void accept(const LogMessage::Append& append, const state::Origin& origin)
    {
        state::Record record { .origin = origin, .body = append.body };
        Fault fault = m_selectFault ? m_selectFault(record) : Fault::None;
        if (fault == Fault::None || fault == Fault::LoseResponse || fault == Fault::Duplicate)
            add(append.stream, record);
        if (fault == Fault::Duplicate || fault == Fault::Late)
            m_duplicates.emplace_back(append.stream, record);
        auto status = LogMessage::AppendStatus::Unresolved;
        if (fault == Fault::None)
            status = LogMessage::AppendStatus::Appended;
        else if (fault == Fault::Refuse)
            status = LogMessage::AppendStatus::NotAppended;
        if (append.onResult)
            append.onResult({ .status = status, .origin = origin });
    }

    void accept(const LogMessage::Subscribe& subscribe)
    {
        if (m_holdFirstBatches) {
            m_heldSubscribers.emplace_back(subscribe.stream, subscribe.onBatch);
            return;
        }
        m_subscribers[subscribe.stream].push_back(subscribe.onBatch);
        subscribe.onBatch(batch(m_streams[subscribe.stream], 0));
    }

    void add(const std::string& stream, const state::Record& record)
    {
        auto& records = m_streams[stream];
        records.push_back(record);
        for (const auto& onBatch : m_subscribers[stream])
            onBatch(batch(records, records.size() - 1));
    }

    static state::StreamBatch batch(const std::vector<state::Record>& records, std::size_t from)
    {
        state::StreamBatch batch { .firstOffset = from, .nextOffset = records.size(), .caughtUp = true };
        for (std::size_t offset = from; offset < records.size(); ++offset)
            batch.entries.push_back({ .offset = offset, .record = records[offset] });
        return batch;
    }

    std::mutex m_mutex;
    FaultSelector m_selectFault;
    std::uint64_t m_sequence = 0;
    std::map<std::string, std::vector<state::Record>> m_streams;
    std::map<std::string, std::vector<std::function<void(state::StreamBatch)>>> m_subscribers;
    std::vector<std::pair<std::string, state::Record>> m_duplicates;
    bool m_holdFirstBatches = false;
    std::vector<std::pair<std::string, std::function<void(state::StreamBatch)>>> m_heldSubscribers;
};

} // namespace lentilsaddle::coordination
