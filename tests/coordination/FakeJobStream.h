/// @file
/// In-memory log stream for task-level tests.
#pragma once

#include "coordination/log/LogMessage.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace lentilsaddle::coordination {

/// One stream shared by several instances.
class FakeJobStream {
public:
    using Status = LogMessage::AppendStatus;

    /// @return the hook by which one process posts to the log.
    std::function<void(LogMessage)> connect(const state::InstanceId& instance, std::uint64_t incarnation)
    {
        return [this, instance, incarnation](LogMessage message) {
            std::lock_guard lock(m_mutex);
            if (auto* subscribe = std::get_if<LogMessage::Subscribe>(&message.body)) {
                subscribe->onBatch(batch(0));
                m_readers.push_back(subscribe->onBatch);
            } else if (auto* append = std::get_if<LogMessage::Append>(&message.body)) {
                state::Origin origin { .instance = instance, .incarnation = incarnation, .sequence = ++m_sequence };
                accept(*append, origin);
            }
        };
    }

    void setStatus(Status status)
    {
        std::lock_guard lock(m_mutex);
        m_status = status;
    }

    void append(const state::Record& record)
    {
        std::lock_guard lock(m_mutex);
        push(record);
    }

    std::vector<state::Record> records()
    {
        std::lock_guard lock(m_mutex);
        return m_records;
    }

    template <typename Body> std::vector<Body> bodies()
    {
        std::vector<Body> found;
        for (const state::Record& record : records()) {
            if (const auto* body = std::get_if<Body>(&record.body))
                found.push_back(*body);
        }
        return found;
    }

private:
    void accept(const LogMessage::Append& append, const state::Origin& origin)
    {
        Status status = m_status;
        if (append.onResult)
            append.onResult({ .status = status, .origin = origin });
        if (status == Status::Appended)
            push({ .origin = origin, .body = append.body });
    }

    void push(const state::Record& record)
    {
        m_records.push_back(record);
        for (const auto& reader : m_readers)
            reader(batch(m_records.size() - 1));
    }

    state::StreamBatch batch(std::size_t first) const
    {
        state::StreamBatch result {
            .entries = {}, .firstOffset = first, .nextOffset = m_records.size(), .gap = false, .caughtUp = true
        };
        for (std::size_t offset = first; offset < m_records.size(); ++offset)
            result.entries.push_back({ .offset = offset, .record = m_records[offset] });
        return result;
    }

    std::mutex m_mutex;
    Status m_status = Status::Appended;
    std::uint64_t m_sequence = 0;
    std::vector<state::Record> m_records;
    std::vector<std::function<void(state::StreamBatch)>> m_readers;
};

} // namespace lentilsaddle::coordination
