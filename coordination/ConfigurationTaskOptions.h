/// @file
/// Options of ConfigurationTask.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace lentilsaddle::coordination {

struct ConfigurationTaskOptions {
    std::string stream = "configuration";
    /// Time that the log task retries the append of a patch.
    std::chrono::milliseconds appendLimit { 5'000 };
    /// Time until a submission is answered; the difference to appendLimit is left for replay.
    std::chrono::milliseconds answerLimit { 7'000 };
};

} // namespace lentilsaddle::coordination
