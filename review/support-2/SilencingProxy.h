/// @file
/// Loopback TCP proxy whose open connections can go silent.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <thread>

namespace lentilsaddle::review {

/// Forwards connections to a loopback port. Silent connections stay open and forward nothing, in either direction; new
/// connections are not affected.
class SilencingProxy {
public:
    explicit SilencingProxy(std::uint16_t targetPort);
    ~SilencingProxy();
    SilencingProxy(const SilencingProxy&) = delete;
    SilencingProxy& operator=(const SilencingProxy&) = delete;

    std::uint16_t port() const { return m_port; }
    int openConnections() const { return m_open; }
    /// Silences a percentage of the open connections, the oldest first.
    void silence(int percentage) { m_percentageToSilence = percentage; }

private:
    struct Connection {
        int client = -1;
        int server = -1;
        bool silent = false;
        bool closed = false;
    };

    void run();
    void accept();
    void silenceConnections(int percentage);
    static bool forward(int from, int to);

    std::uint16_t m_port = 0;
    std::uint16_t m_targetPort = 0;
    int m_listener = -1;
    std::list<Connection> m_connections;
    std::atomic<int> m_open = 0;
    std::atomic<int> m_percentageToSilence = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace lentilsaddle::review
