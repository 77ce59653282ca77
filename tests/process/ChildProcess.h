/// @file
/// Child process of a test.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace lentilsaddle::testing_support {

/// Owns a child process and always reaps it: the destructor kills it if it still runs.
class ChildProcess {
public:
    /// Starts a program.
    /// @param arguments path of the program and its arguments.
    /// @param logPath file that gets standard output and standard error.
    /// @throws std::system_error if the log cannot be opened or the program cannot be started.
    ChildProcess(const std::vector<std::string>& arguments, std::string logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Sends SIGKILL, waits for the end of the process and reaps it.
    void kill();

    /// Sends SIGTERM and returns without waiting for the end of the process.
    void terminate();

    /// @return whether terminate() was called; the process may still run.
    bool terminated() const { return m_terminated; }

    /// Stops all threads with SIGSTOP.
    void pause();

    /// Continues a paused process with SIGCONT.
    void resume();

    /// @return whether the process has ended; if so, it is reaped.
    bool ended();

    /// @return exit code, or the negated number of the signal that ended the process. Valid once ended() returns true.
    int exitCode() const { return m_exitCode; }

    pid_t id() const { return m_id; }
    const std::string& logPath() const { return m_logPath; }

private:
    void signal(int number) const;
    void recordStatus(int status);

    pid_t m_id = -1;
    bool m_terminated = false;
    bool m_reaped = false;
    int m_exitCode = 0;
    std::string m_logPath;
};

} // namespace lentilsaddle::testing_support
