/// @file
/// Command-line parser for gflags flags that reports usage errors to the caller.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::cli {

/// Parsed command line.
struct CommandLine {
    /// Arguments that are not flags, in order.
    std::vector<std::string> positional;
    bool help = false;
    bool version = false;
    /// Usage error, if the command line is invalid.
    std::optional<std::string> error;
};

/// Sets the gflags flags from the arguments; parsing stops at the first error. The parser of gflags is not used,
/// because it exits with status 1 on a usage error, which scripts could not distinguish from ExitCode::Failure.
CommandLine parseCommandLine(int argc, char** argv);

} // namespace lentilsaddle::cli
