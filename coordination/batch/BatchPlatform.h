/// @file
/// Interface of batch scheduling to the platform.
#pragma once

#include "coordination/batch/JournalHooks.h"
#include "coordination/batch/WorkerHooks.h"
#include "state/Identifier.h"
#include "state/batch/BatchConfiguration.h"
#include "state/batch/BatchWorker.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilsaddle::coordination::batch {

/// Store, workers and record formats of the platform.
struct BatchPlatform {
    JournalHooks journal;
    WorkerHooks worker;
    /// @return empty if the record does not describe a usable worker.
    std::function<std::optional<state::batch::BatchWorker>(const std::string& key, const std::string& value)>
        decodeWorker;
    /// @return empty if the record is not a configuration.
    std::function<std::optional<state::batch::BatchConfiguration>(const std::string& key, const std::string& value)>
        decodeConfiguration;
    /// @return the data centre that a record of the configuration stream asks to evacuate, or no longer to evacuate if
    /// the record has no value; empty for other records.
    std::function<std::optional<state::DataCentreId>(const std::string& key)> decodeEvacuation;
    /// Keeps the clients behind the hooks alive.
    std::shared_ptr<void> owner;
};

} // namespace lentilsaddle::coordination::batch
