/// @file
/// Worker of the batch subsystem.
#pragma once

#include "state/Identifier.h"
#include "state/batch/Resources.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lentilsaddle::state::batch {

/// Worker as listed in the platform's directory.
struct BatchWorker {
    WorkerId id;
    ServiceId service;
    /// `HOST:PORT`.
    std::string address;
    DataCentreId dataCentre;
    Resources capacity;
    std::set<std::string> labels;
    /// Label that names the rack; empty if there is none.
    std::string rack;
    bool draining = false;
    /// Minimum time for which a draining worker remains available.
    std::chrono::milliseconds drainRemaining { 0 };
    /// How much longer the worker is slow after its start, from when its entry was read.
    std::chrono::milliseconds coldRemaining { 0 };
    /// Identifies one process lifetime of the worker; 0 if the directory does not state it.
    std::int64_t incarnation = 0;

    bool operator==(const BatchWorker&) const = default;
};

} // namespace lentilsaddle::state::batch
