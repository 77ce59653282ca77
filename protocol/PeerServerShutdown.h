/// @file
/// Shut-down state shared by the calls of PeerServer.
#pragma once

#include <mutex>

namespace lentilsaddle::protocol {

/// Prevents replies after the shut-down of the server, since a closed completion queue accepts no operations.
struct PeerServerShutdown {
    std::mutex mutex;
    bool closed = false;
};

} // namespace lentilsaddle::protocol
