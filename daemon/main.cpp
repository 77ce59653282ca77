/// @file
/// Daemon of an entry instance.

#include "cli/CommandLine.h"
#include "cli/ErrorText.h"
#include "cli/ExitCode.h"
#include "daemon/BatchDaemon.h"
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
DEFINE_bool(check_config, false, "validate the settings file and exit");

namespace lentilsaddle::daemon {

namespace {

    constexpr const char* usage = R"(Usage: lentilsaddled --settings FILE [--check-config]

  --settings FILE  settings file (YAML); see docs/configuration.md
  --check-config   validate the settings file and exit
  --help, --version

Exit codes: 0 success, 1 failure, 2 usage or settings error.
)";

    transport::LogLevel parseLogLevel(const std::string& name)
    {
        static const std::map<std::string, transport::LogLevel> levels {
            { "debug", transport::LogLevel::Debug },
            { "info", transport::LogLevel::Info },
            { "warning", transport::LogLevel::Warning },
            { "error", transport::LogLevel::Error },
        };
        return levels.at(name);
    }

    // Validates the settings file and logs the result. Settings are read only at process start, so a reload changes
    // nothing in the running daemon.
    void validateSettingsFile()
    {
        try {
            protocol::readSettings(FLAGS_settings);
            transport::writeLog(
                transport::LogLevel::Info, "daemon", "changed settings are valid and take effect at the next start");
        } catch (const protocol::ProtocolError& error) {
            transport::writeLog(transport::LogLevel::Error, "daemon",
                "changed settings are invalid; the running settings stay in effect", { { "error", error.what() } });
        }
    }

    // Blocks the handled signals in all threads, so that only sigwait() receives them. Must run before any thread
    // starts.
    sigset_t blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    // Runs the daemon until SIGINT or SIGTERM; SIGHUP validates the settings file.
    template <typename DaemonType>
    cli::ExitCode runUntilSignal(const state::Settings& settings, const sigset_t& signals)
    {
        DaemonType daemon(settings);
        daemon.start();
        transport::writeLog(transport::LogLevel::Info, "daemon", "started", { { "version", LENTILSADDLE_VERSION } });
        int receivedSignal = SIGHUP;
        while (receivedSignal == SIGHUP) {
            sigwait(&signals, &receivedSignal);
            if (receivedSignal == SIGHUP)
                validateSettingsFile();
        }
        transport::writeLog(
            transport::LogLevel::Info, "daemon", "stopping", { { "signal", std::to_string(receivedSignal) } });
        bool finished = daemon.shutDown();
        transport::writeLog(transport::LogLevel::Info, "daemon", "stopped");
        return finished ? cli::ExitCode::Success : cli::ExitCode::Failure;
    }

    cli::ExitCode runDaemon(const state::Settings& settings)
    {
        sigset_t signals = blockSignals();
        transport::configureLogging(settings.instance.value(), parseLogLevel(settings.logLevel));
        for (const std::string& key : settings.unsetKeys)
            transport::writeLog(
                transport::LogLevel::Warning, "daemon", "setting has no value; its default holds", { { "key", key } });
        return settings.batch.enabled() ? runUntilSignal<BatchDaemon>(settings, signals)
                                        : runUntilSignal<Daemon>(settings, signals);
    }

    cli::ExitCode runFromFlags()
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
            return static_cast<int>(runFromFlags());
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
