/// @file
/// What the batch part needs from the platform it runs on.
#pragma once

#include "coordination/batch/JournalHooks.h"
#include "coordination/batch/WorkerHooks.h"
#include "state/batch/BatchConfiguration.h"
#include "state/batch/BatchWorker.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilsaddle::coordination::batch {

struct BatchPlatform {
    JournalHooks journal;
    WorkerHooks worker;
    /// @return nothing if the record describes no usable worker.
    std::function<std::optional<state::batch::BatchWorker>(const std::string& key, const std::string& value)>
        decodeWorker;
    /// @return nothing if the record is no configuration.
    std::function<std::optional<state::batch::BatchConfiguration>(const std::string& key, const std::string& value)>
        decodeConfiguration;
    /// Keeps the clients behind the hooks alive.
    std::shared_ptr<void> owner;
};

} // namespace lentilsaddle::coordination::batch
