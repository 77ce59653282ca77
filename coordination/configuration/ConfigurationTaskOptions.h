/// @file
/// Options of ConfigurationTask.
#pragma once

#include "coordination/decisions/SnapshotPolicy.h"

#include <chrono>
#include <string>

namespace lentilsaddle::coordination {

struct ConfigurationTaskOptions {
    std::string stream = "configuration";
    /// Time that the log task retries the append of a patch.
    std::chrono::milliseconds appendTimeout { 5'000 };
    /// Time until a submission is answered; the difference to appendTimeout is left for replay.
    std::chrono::milliseconds responseTimeout { 7'000 };
    SnapshotPolicy::Options snapshots;
    /// A snapshot that is due is appended after a random part of this time, so that usually one instance appends it.
    std::chrono::milliseconds snapshotJitter { 5'000 };
};

} // namespace lentilsaddle::coordination
