/// @file
/// Mailbox message of ApiTask.
#pragma once

#include <chrono>
#include <functional>
#include <variant>

namespace lentilsaddle::coordination {

struct ApiMessage {
    /// Response of another task, delivered on the API task's thread.
    struct Reply {
        std::function<void()> deliver;
    };
    /// Reports "not ready" and asks clients to close their connections.
    struct StartDraining { };
    /// Closes the listening socket after a notice period, in which the load balancer sees "not ready" and requests
    /// still arrive.
    struct StopListening {
        std::chrono::milliseconds notice { 0 };
        std::function<void()> onListeningStopped;
        /// Called after the last response has been sent.
        std::function<void()> onIdle;
    };

    using Body = std::variant<Reply, StartDraining, StopListening>;
    Body body;
};

} // namespace lentilsaddle::coordination
