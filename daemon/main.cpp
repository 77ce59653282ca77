/// @file
/// Daemon of an entry instance.

#include "cli/CommandLine.h"
#include "cli/ErrorText.h"
#include "cli/ExitCode.h"
#include "daemon/Daemon.h"
#include "protocol/ProtocolError.h"
#include "protocol/SettingsCodec.h"
#include "transport/Logger.h"

#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <map>

DEFINE_string(settings, "", "settings file (YAML)");
DEFINE_bool(check_config, false, "only check the settings file");

namespace lentilsaddle::daemon {

namespace {

    constexpr const char* usage = R"(Usage: lentilsaddled --settings FILE [--check-config]

  --settings FILE  settings file (YAML); see docs/configuration.md
  --check-config   only check the settings file
  --help, --version

Exit codes: 0 success, 1 failure, 2 usage or settings error.
)";

    transport::LogLevel logLevel(const std::string& name)
    {
        static const std::map<std::string, transport::LogLevel> levels {
            { "debug", transport::LogLevel::Debug },
            { "info", transport::LogLevel::Info },
            { "warning", transport::LogLevel::Warning },
            { "error", transport::LogLevel::Error },
        };
        return levels.at(name);
    }

    // The signals are blocked in all threads, so that only sigwait() receives them.
    sigset_t blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    cli::ExitCode runDaemon(const state::Settings& settings)
    {
        sigset_t signals = blockSignals();
        transport::configureLogging(settings.instance.value(), logLevel(settings.logLevel));
        Daemon daemon(settings);
        daemon.start();
        int received = 0;
        sigwait(&signals, &received);
        transport::writeLog(
            transport::LogLevel::Info, "daemon", "stopping", { { "signal", std::to_string(received) } });
        return daemon.shutDown() ? cli::ExitCode::Success : cli::ExitCode::Failure;
    }

    cli::ExitCode run()
    {
        if (FLAGS_settings.empty()) {
            std::cerr << "lentilsaddled: --settings is required; see --help\n";
            return cli::ExitCode::Usage;
        }
        state::Settings settings;
        try {
            settings = protocol::readSettings(FLAGS_settings);
        } catch (const protocol::ProtocolError& error) {
            std::cerr << error.what() << '\n';
            return cli::ExitCode::Usage;
        }
        if (FLAGS_check_config) {
            std::cout << FLAGS_settings << ": valid\n";
            return cli::ExitCode::Success;
        }
        return runDaemon(settings);
    }

    int runProgram(int argc, char** argv)
    {
        cli::CommandLine commandLine = cli::parseCommandLine(argc, argv);
        if (commandLine.error || !commandLine.positional.empty()) {
            std::cerr << "lentilsaddled: "
                      << commandLine.error.value_or("unexpected argument '"
                             + (commandLine.positional.empty() ? "" : commandLine.positional[0]) + "'")
                      << "; see --help\n";
            return static_cast<int>(cli::ExitCode::Usage);
        }
        if (commandLine.help || commandLine.version) {
            std::cout << (commandLine.help ? std::string(usage)
                                           : std::string("lentilsaddled ") + LENTILSADDLE_VERSION + "\n");
            return static_cast<int>(cli::ExitCode::Success);
        }
        try {
            return static_cast<int>(run());
        } catch (const std::exception& error) {
            std::cerr << "lentilsaddled: " << cli::errorText(error) << '\n';
            return static_cast<int>(cli::ExitCode::Failure);
        }
    }

} // namespace

} // namespace lentilsaddle::daemon

int main(int argc, char** argv)
{
    return lentilsaddle::daemon::runProgram(argc, argv);
}
