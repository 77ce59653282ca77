#include "transport/LogWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace lentilsaddle::transport {

namespace {

    // Delay before a write; lines queued within it are written together.
    constexpr std::chrono::milliseconds batchDelay { 20 };
    // Time limit of one wait for the descriptor to be writable, after which the writer checks whether it must stop.
    constexpr std::chrono::milliseconds pollTimeout { 100 };
    // Number of timed-out waits after which a stopping writer discards the remaining lines.
    constexpr int maximumPollTimeoutsAtStop = 5;
    // Maximum size of one write: a pipe that is reported as writable accepts at least this much without blocking.
    constexpr std::size_t chunkBytes = 4'096;

} // namespace

LogWriter::LogWriter(const Options& options)
    : m_options(options)
    , m_thread([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void LogWriter::write(const std::string& line)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_queued.size() + line.size() + 1 > m_options.maximumBytes) {
            ++m_dropped;
            return;
        }
        m_queued += line;
        m_queued += '\n';
    }
    m_changed.notify_one();
}

std::string LogWriter::drainQueue()
{
    std::string text;
    text.swap(m_queued);
    if (m_dropped > 0)
        text += "level=WARNING component=log message=\"lines dropped\" count=" + std::to_string(m_dropped) + '\n';
    m_dropped = 0;
    return text;
}

void LogWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_queued.empty(); });
        if (!m_stopping)
            m_changed.wait_for(lock, batchDelay, [this] { return m_stopping; });
        std::string text = drainQueue();
        if (text.empty())
            return;
        lock.unlock();
        bool written = writeAll(text);
        lock.lock();
        if (!written)
            return;
    }
}

bool LogWriter::writeAll(const std::string& text)
{
    std::size_t bytesWritten = 0;
    int pollTimeouts = 0;
    while (bytesWritten < text.size()) {
        pollfd descriptor { .fd = m_options.descriptor, .events = POLLOUT, .revents = 0 };
        int ready = poll(&descriptor, 1, static_cast<int>(pollTimeout.count()));
        if (ready == 0) {
            std::lock_guard lock(m_mutex);
            if (m_stopping && ++pollTimeouts >= maximumPollTimeoutsAtStop)
                return false;
            continue;
        }
        ssize_t count = ::write(
            m_options.descriptor, text.data() + bytesWritten, std::min(chunkBytes, text.size() - bytesWritten));
        if (count < 0 && errno != EINTR && errno != EAGAIN)
            return false; // The reader has closed its end, and there is no other place to report that.
        if (count > 0)
            bytesWritten += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace lentilsaddle::transport
