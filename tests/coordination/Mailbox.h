/// @file
/// Thread-safe queue for tests.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace lentilsaddle::coordination {

/// Blocking queue through which other threads pass results to a test thread.
template <typename Value> class Mailbox {
public:
    void put(Value value)
    {
        std::lock_guard lock(m_mutex);
        m_values.push_back(std::move(value));
        m_changed.notify_all();
    }

    /// Waits for the next value. The time limit turns a hang into a test failure.
    Value take()
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, std::chrono::seconds(30), [this] { return !m_values.empty(); }))
            throw std::runtime_error("no value arrived in the mailbox within 30 seconds");
        Value value = std::move(m_values.front());
        m_values.pop_front();
        return value;
    }

    /// Takes values until one satisfies the predicate.
    template <typename Predicate> Value takeUntil(Predicate predicate)
    {
        for (;;) {
            Value value = take();
            if (predicate(value))
                return value;
        }
    }

    void clear()
    {
        std::lock_guard lock(m_mutex);
        m_values.clear();
    }

    bool empty()
    {
        std::lock_guard lock(m_mutex);
        return m_values.empty();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Value> m_values;
};

} // namespace lentilsaddle::coordination
