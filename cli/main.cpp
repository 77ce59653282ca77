/// @file
/// Command-line tool of callers and operators.

#include "cli/CommandLine.h"
#include "cli/Commands.h"
#include "cli/ErrorText.h"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

namespace {

void printHelp()
{
    std::cout << lentilsaddle::cli::usageText();
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto& flag : flags) {
        if (flag.filename.find("gflags") == std::string::npos)
            std::cout << "  --" << flag.name << "  " << flag.description << " (default \"" << flag.default_value
                      << "\")\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    using lentilsaddle::cli::CommandLine;
    using lentilsaddle::cli::ExitCode;
    CommandLine commandLine = lentilsaddle::cli::parseCommandLine(argc, argv);
    if (commandLine.error) {
        std::cerr << "lentilsaddle: " << *commandLine.error << "; see --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    if (commandLine.help) {
        printHelp();
        return static_cast<int>(ExitCode::Success);
    }
    if (commandLine.version) {
        std::cout << "lentilsaddle " << LENTILSADDLE_VERSION << '\n';
        return static_cast<int>(ExitCode::Success);
    }
    try {
        return static_cast<int>(lentilsaddle::cli::runCommand(commandLine.positional));
    } catch (const std::exception& error) {
        std::cerr << "lentilsaddle: " << lentilsaddle::cli::errorText(error) << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
}
