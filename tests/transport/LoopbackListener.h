/// @file
/// Listening socket for servers of tests.
#pragma once

#include <cstdint>

namespace lentilsaddle::testing_support {

/// TCP socket that listens on a free loopback port.
class LoopbackListener {
public:
    LoopbackListener();
    /// Closes the socket.
    ~LoopbackListener();
    LoopbackListener(const LoopbackListener&) = delete;
    LoopbackListener& operator=(const LoopbackListener&) = delete;

    std::uint16_t port() const { return m_port; }

    /// Waits for a connection.
    /// @return its descriptor, which the caller closes; negative after shutDown().
    int accept() const;

    /// Ends a wait for a connection, also from another thread.
    void shutDown() const;

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

} // namespace lentilsaddle::testing_support
