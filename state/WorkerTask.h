/// @file
/// Task of a gang as its worker reports it.
#pragma once

#include "state/FencingToken.h"
#include "state/Identifier.h"

#include <string>
#include <vector>

namespace lentilsaddle::state {

struct WorkerTask {
    enum class State {
        Leased,
        Running,
        Succeeded,
        Failed,
        /// The lease expired and the worker stopped the task.
        Lapsed,
    };

    JobId job;
    int attempt = 0;
    FencingToken token;
    State state = State::Leased;
    std::vector<int> accelerators;
    std::string reason;
};

} // namespace lentilsaddle::state
