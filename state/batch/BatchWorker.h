/// @file
/// Worker of the batch part.
#pragma once

#include "state/Identifier.h"
#include "state/batch/Resources.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lentilsaddle::state::batch {

/// A worker as the directory lists it.
struct BatchWorker {
    WorkerId id;
    ServiceId service;
    /// `HOST:PORT`.
    std::string address;
    DataCentreId dataCentre;
    Resources capacity;
    std::set<std::string> labels;
    /// The label that names the rack; empty if none does.
    std::string rack;
    bool draining = false;
    /// Time that a draining worker stays at least.
    std::chrono::milliseconds drainRemaining { 0 };
    /// Identifies the lifetime; 0 if the directory does not tell it.
    std::int64_t incarnation = 0;

    bool operator==(const BatchWorker&) const = default;
};

} // namespace lentilsaddle::state::batch
