/// @file
/// Options of ConfigurationTask.
#pragma once

#include "coordination/decisions/SnapshotPolicy.h"

#include <chrono>
#include <string>

namespace lentilsaddle::coordination {

struct ConfigurationTaskOptions {
    std::string stream = "configuration";
    /// Time for which the log task retries the append of a patch.
    std::chrono::milliseconds appendTimeout { 5'000 };
    /// Time until a submission gets a response; the difference to appendTimeout leaves time for replay.
    std::chrono::milliseconds responseTimeout { 7'000 };
    SnapshotPolicy::Options snapshots;
    /// Upper limit of the random delay before a due snapshot is appended, so that usually only one instance appends it.
    std::chrono::milliseconds snapshotJitter { 5'000 };
};

} // namespace lentilsaddle::coordination
