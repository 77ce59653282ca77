#include "cli/CommandLine.h"

#include <gflags/gflags.h>

#include <algorithm>

namespace lentilsaddle::cli {

namespace {

    // Looks up a flag of the program. Flags that gflags itself defines are excluded; they must not be set from the
    // command line.
    bool findProgramFlag(const std::string& name, gflags::CommandLineFlagInfo& info)
    {
        return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.filename.find("gflags") == std::string::npos;
    }

} // namespace

CommandLine parseCommandLine(int argc, char** argv)
{
    CommandLine result;
    for (int i = 1; i < argc; ++i) {
        std::string argument = argv[i];
        if (!argument.starts_with("--")) {
            result.positional.push_back(argument);
            continue;
        }
        auto equals = argument.find('=');
        std::string name = argument.substr(2, equals == std::string::npos ? std::string::npos : equals - 2);
        std::replace(name.begin(), name.end(), '-', '_');
        if (name == "help" || name == "version") {
            (name == "help" ? result.help : result.version) = true;
            continue;
        }
        gflags::CommandLineFlagInfo info;
        if (!findProgramFlag(name, info)) {
            result.error = "unknown flag '" + argument + "'";
            return result;
        }
        std::string value = equals == std::string::npos ? "true" : argument.substr(equals + 1);
        if (equals == std::string::npos && info.type != "bool") {
            if (i + 1 >= argc) {
                result.error = "flag '" + argument + "' needs a value";
                return result;
            }
            value = argv[++i];
        }
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            result.error = std::string("flag '--").append(name).append("' needs a value of type ").append(info.type);
            return result;
        }
    }
    return result;
}

} // namespace lentilsaddle::cli
