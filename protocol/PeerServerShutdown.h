/// @file
/// Shut-down state shared by the calls of PeerServer.
#pragma once

#include <mutex>

namespace lentilsaddle::protocol {

/// Stops replies once the server is shut down, since a closed completion queue takes no operation.
struct PeerServerShutdown {
    std::mutex mutex;
    bool closed = false;
};

} // namespace lentilsaddle::protocol
