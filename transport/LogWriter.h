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

/// Bounded queue of lines with one writing thread. Lines that find the queue full are dropped; a line tells how many.
class LogWriter {
public:
    struct Options {
        /// Descriptor that the lines go to.
        int descriptor = 1;
        /// About two seconds of logs under the highest load measured.
        std::size_t maximumBytes = 1 << 20;
    };

    explicit LogWriter(const Options& options);

    /// Writes what is queued, unless the reader does not take it for half a second.
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    /// Queues a line, or drops it. Safe from any thread.
    /// @param line text without a line end.
    void write(const std::string& line);

private:
    void run();
    bool writeAll(const std::string& text);
    std::string takeQueued();

    Options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_queued;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace lentilsaddle::transport
