#include "transport/LogWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace lentilsaddle::transport {

namespace {

    // Lines that come within this time are written together.
    constexpr std::chrono::milliseconds gatherTime { 20 };
    // How long one wait for the reader lasts before the writer looks whether it is to stop.
    constexpr std::chrono::milliseconds pollTime { 100 };
    // Waits for a reader that takes nothing after which the last lines are given up at a stop.
    constexpr int pollsAtStop = 5;
    // A pipe that can be written to takes at least this much without blocking.
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

std::string LogWriter::takeQueued()
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
            m_changed.wait_for(lock, gatherTime, [this] { return m_stopping; });
        std::string text = takeQueued();
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
    std::size_t done = 0;
    int pollsWithoutRoom = 0;
    while (done < text.size()) {
        pollfd descriptor { .fd = m_options.descriptor, .events = POLLOUT, .revents = 0 };
        int ready = poll(&descriptor, 1, static_cast<int>(pollTime.count()));
        if (ready == 0) {
            std::lock_guard lock(m_mutex);
            if (m_stopping && ++pollsWithoutRoom >= pollsAtStop)
                return false;
            continue;
        }
        ssize_t count = ::write(m_options.descriptor, text.data() + done, std::min(chunkBytes, text.size() - done));
        if (count < 0 && errno != EINTR && errno != EAGAIN)
            return false; // Nobody reads the logs any more, and there is no other place to report that.
        if (count > 0)
            done += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace lentilsaddle::transport
