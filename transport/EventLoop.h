/// @file
/// Event loop on libev.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace lentilsaddle::transport {

/// Single-threaded event loop. All methods except wake() and requestStop() must be called on the thread that runs it.
class EventLoop {
public:
    using TimerId = std::uint64_t;
    using Callback = std::function<void()>;
    /// @param readable whether the descriptor is readable.
    /// @param writable whether the descriptor is writable.
    using DescriptorCallback = std::function<void(bool readable, bool writable)>;

    /// @param onWake called on the loop's thread after wake().
    explicit EventLoop(Callback onWake);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs until requestStop().
    void run();

    /// Schedules the wake callback on the loop's thread. Thread-safe; several calls may be coalesced into one callback.
    void wake();

    /// Makes run() return after the next wake callback. Thread-safe.
    void requestStop();

    /// Starts a one-shot timer.
    /// @return identifier for cancelTimer().
    TimerId startTimer(std::chrono::microseconds delay, Callback callback);

    /// Cancels a timer; unknown or expired identifiers are ignored.
    void cancelTimer(TimerId timer);

    /// Watches a file descriptor, replacing an earlier watch of the same descriptor.
    /// @param read whether the callback runs when the descriptor is readable.
    /// @param write whether the callback runs when the descriptor is writable.
    void watchDescriptor(int descriptor, bool read, bool write, DescriptorCallback callback);

    /// Stops watching a descriptor; an unwatched descriptor is ignored.
    void unwatchDescriptor(int descriptor);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::transport
