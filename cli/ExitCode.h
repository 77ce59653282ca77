/// @file
/// Exit codes of the programs.
#pragma once

namespace lentilsaddle::cli {

/// Scripts rely on these values.
enum class ExitCode : int {
    Success = 0,
    /// The operation was refused or failed, and did not take effect.
    Failure = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// No instance could be reached; nothing was sent.
    Unreachable = 3,
    /// The operation may have taken effect.
    OutcomeUnknown = 4,
};

} // namespace lentilsaddle::cli
