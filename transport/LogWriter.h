/// @file
/// Writes log lines to standard output without ever blocking the threads that log.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace lentilsaddle::transport {

/// Bounded queue of log lines, written by a thread of its own. Lines are dropped while the queue is full; a later line
/// reports how many.
class LogWriter {
public:
    struct Options {
        /// File descriptor that the lines are written to.
        int descriptor = 1;
        /// Capacity of the queue: about two seconds of logs under the highest load measured.
        std::size_t maximumBytes = 1 << 20;
    };

    explicit LogWriter(const Options& options);

    /// Writes the queued lines; discards the rest if the descriptor is not writable for half a second.
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    /// Queues a line, or drops it if the queue is full. Thread-safe.
    /// @param line text without a line terminator.
    void write(const std::string& line);

private:
    void run();
    /// @return false if the text could not be written completely; the thread then ends.
    bool writeAll(const std::string& text);
    /// Empties the queue.
    /// @return the queued lines, followed by a line with the number of dropped lines if there are any.
    std::string drainQueue();

    Options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_queued;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace lentilsaddle::transport
