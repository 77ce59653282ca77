/// @file
/// Command line on gflags, with usage errors under the program's control.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::cli {

/// Result of parsing a command line.
struct CommandLine {
    /// Arguments that are no flags.
    std::vector<std::string> positional;
    bool help = false;
    bool version = false;
    /// What is wrong with the command line, if anything.
    std::optional<std::string> error;
};

/// Sets the gflags flags from the arguments. gflags' own parser ends the process with status 1 on a usage error, which
/// scripts could not tell from a refused operation.
CommandLine parseCommandLine(int argc, char** argv);

} // namespace lentilsaddle::cli
