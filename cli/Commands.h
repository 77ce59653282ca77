/// @file
/// Commands of the command-line tool.
#pragma once

#include "cli/ExitCode.h"

#include <string>
#include <vector>

namespace lentilsaddle::cli {

/// Runs one command and prints its result.
/// @param arguments command name and its positional arguments; flags are read from gflags.
/// @return the exit code of the process.
ExitCode runCommand(const std::vector<std::string>& arguments);

/// @return the text of `--help`, up to the list of flags.
std::string usageText();

} // namespace lentilsaddle::cli
