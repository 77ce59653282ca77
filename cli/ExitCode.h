/// @file
/// Exit codes of the programs.
#pragma once

namespace lentilsaddle::cli {

/// The values are part of the command-line interface; scripts depend on them.
enum class ExitCode : int {
    Success = 0,
    /// The operation was refused or failed, and did not take effect.
    Failure = 1,
    /// The command line or the settings are invalid.
    Usage = 2,
    /// No instance could be reached; nothing was sent.
    Unreachable = 3,
    /// The operation may have taken effect.
    OutcomeUnknown = 4,
};

} // namespace lentilsaddle::cli
