/// @file
/// Child process of a test.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace lentilsaddle::testing_support {

/// Starts a program and always reaps it: the destructor kills it if it still runs.
class ChildProcess {
public:
    /// Starts a program.
    /// @param arguments path of the program and its arguments.
    /// @param logPath file that gets standard output and standard error.
    /// @throws std::system_error if the program cannot be started.
    ChildProcess(const std::vector<std::string>& arguments, std::string logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Ends the process with SIGKILL and reaps it.
    void kill();

    /// Sends SIGTERM and returns at once.
    void terminate();

    /// Stops all threads with SIGSTOP.
    void pause();

    /// Lets a paused process go on.
    void resume();

    /// @return whether the process has ended; if so, it is reaped.
    bool ended();

    /// @return exit code, or minus the signal that ended the process. Valid after ended().
    int exitCode() const { return m_exitCode; }

    pid_t id() const { return m_id; }
    const std::string& logPath() const { return m_logPath; }

private:
    void signal(int number) const;
    void recordStatus(int status);

    pid_t m_id = -1;
    bool m_reaped = false;
    int m_exitCode = 0;
    std::string m_logPath;
};

} // namespace lentilsaddle::testing_support
