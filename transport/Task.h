/// @file
/// Thread that owns its event loop, sockets and state, and is accessed through messages only.
#pragma once

#include "transport/CallbackGuard.h"
#include "transport/EventLoop.h"

#include <deque>
#include <exception>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace lentilsaddle::transport {

/// Base class of all tasks: a thread with an event loop and a mailbox.
///
/// A derived class creates its sockets in onStart() and closes them in onStop(), both on the task's thread, and must
/// call stop() in its destructor, before its own members are destroyed.
/// @tparam Message type of the mailbox, usually a `std::variant`.
template <typename Message> class Task {
public:
    Task()
        : m_loop([this] { drainMailbox(); })
    {
    }
    virtual ~Task() = default;
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;

    /// Starts the thread and waits until onStart() has run.
    /// @throws the exception of onStart(), if it throws; the thread has then ended.
    void start()
    {
        std::promise<void> started;
        std::future<void> ready = started.get_future();
        m_thread = std::thread([this, started = std::move(started)]() mutable {
            try {
                onStart();
                started.set_value();
            } catch (...) {
                started.set_exception(std::current_exception());
                return;
            }
            m_loop.run();
            onStop();
        });
        ready.get();
    }

    /// Appends a message to the mailbox. Thread-safe; messages from one thread keep their order.
    void post(Message message)
    {
        {
            std::lock_guard lock(m_mutex);
            m_mailbox.push_back(std::move(message));
        }
        m_loop.wake();
    }

    /// Stops the thread after it has handled the messages already in the mailbox, and joins it.
    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_loop.requestStop();
        m_thread.join();
    }

protected:
    EventLoop& loop() { return m_loop; }

    /// Runs on the task's thread before the first message.
    virtual void onStart() { }

    /// Runs on the task's thread after the last message.
    virtual void onStop() { }

    /// Handles one message on the task's thread.
    virtual void onMessage(Message message) = 0;

private:
    void drainMailbox()
    {
        std::deque<Message> batch;
        {
            std::lock_guard lock(m_mutex);
            batch.swap(m_mailbox);
        }
        for (Message& message : batch)
            runGuarded("message", [this, &message] { onMessage(std::move(message)); });
    }

    EventLoop m_loop;
    std::mutex m_mutex;
    std::deque<Message> m_mailbox;
    std::thread m_thread;
};

} // namespace lentilsaddle::transport
