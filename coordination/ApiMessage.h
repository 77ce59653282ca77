/// @file
/// Mailbox message of ApiTask.
#pragma once

#include <functional>
#include <variant>

namespace lentilsaddle::coordination {

struct ApiMessage {
    /// Answer of another task, delivered on the API task's thread.
    struct Reply {
        std::function<void()> deliver;
    };
    /// Reports "not ready" and asks clients to close their connections.
    struct StartDraining { };
    /// Closes the listening socket and calls back when the last request is answered.
    struct StopListening {
        std::function<void()> onIdle;
    };

    using Body = std::variant<Reply, StartDraining, StopListening>;
    Body body;
};

} // namespace lentilsaddle::coordination
