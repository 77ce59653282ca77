/// @file
/// Event loop on libev.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace lentilsaddle::transport {

/// Single-threaded event loop. All calls except wake() and requestStop() belong to the thread that runs it.
class EventLoop {
public:
    using TimerId = std::uint64_t;
    using Callback = std::function<void()>;
    /// @param readable whether the descriptor can be read.
    /// @param writable whether the descriptor can be written.
    using DescriptorCallback = std::function<void(bool readable, bool writable)>;

    /// @param onWake called on the loop's thread after wake().
    explicit EventLoop(Callback onWake);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs until requestStop().
    void run();

    /// Makes the loop call its wake callback. Safe from any thread; calls may be merged.
    void wake();

    /// Ends run() after the current callback. Safe from any thread.
    void requestStop();

    /// Calls back once after a delay.
    /// @return identifier for cancelTimer().
    TimerId startTimer(std::chrono::microseconds delay, Callback callback);

    /// Cancels a timer; unknown or expired identifiers are ignored.
    void cancelTimer(TimerId timer);

    /// Watches a descriptor, replacing an earlier watch of the same descriptor.
    void watchDescriptor(int descriptor, bool read, bool write, DescriptorCallback callback);

    /// Stops watching a descriptor; an unwatched descriptor is ignored.
    void unwatchDescriptor(int descriptor);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::transport
