/// @file
/// Mailbox message of TimelineTask.
#pragma once

#include "state/TimelineEvent.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::coordination {

struct TimelineMessage {
    struct Add {
        state::WallTime time;
        std::string subject;
        std::string kind;
        std::string detail;
    };
    struct Read {
        /// Empty reads all subjects.
        std::string subject;
        std::function<void(std::vector<state::TimelineEvent>)> reply;
    };

    using Body = std::variant<Add, Read>;
    Body body;
};

} // namespace lentilsaddle::coordination
