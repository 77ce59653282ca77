/// @file
/// Commands of the command-line tool.
#pragma once

#include "cli/ExitCode.h"

#include <string>
#include <vector>

namespace lentilsaddle::cli {

/// Runs one command.
/// @param arguments command name and its arguments; flags are read from gflags.
ExitCode runCommand(const std::vector<std::string>& arguments);

/// @return the text of `--help`.
std::string usageText();

} // namespace lentilsaddle::cli
