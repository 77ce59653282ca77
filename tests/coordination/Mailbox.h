/// @file
/// Results that cross threads in tests.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace lentilsaddle::coordination {

/// Queue that a test thread waits on.
template <typename Value> class Mailbox {
public:
    void put(Value value)
    {
        std::lock_guard lock(m_mutex);
        m_values.push_back(std::move(value));
        m_changed.notify_all();
    }

    /// Waits for the next value. The limit only turns a hang into a failure.
    Value take()
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, std::chrono::seconds(30), [this] { return !m_values.empty(); }))
            throw std::runtime_error("nothing arrived");
        Value value = std::move(m_values.front());
        m_values.pop_front();
        return value;
    }

    /// Takes values until one fits.
    template <typename Predicate> Value takeUntil(Predicate fits)
    {
        for (;;) {
            Value value = take();
            if (fits(value))
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
