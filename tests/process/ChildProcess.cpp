#include "tests/process/ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

extern char** environ;

namespace lentilsaddle::testing_support {

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, std::string logPath)
    : m_logPath(std::move(logPath))
{
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments)
        pointers.push_back(const_cast<char*>(argument.c_str()));
    pointers.push_back(nullptr);
    // Opened here, because posix_spawn() does not report which of its steps failed.
    int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (log < 0)
        throw std::system_error(errno, std::generic_category(), "cannot open " + m_logPath);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, log, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, log, STDERR_FILENO);
    int error = posix_spawn(&m_id, pointers[0], &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(log);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), "cannot start " + arguments[0]);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::kill()
{
    if (m_reaped)
        return;
    signal(SIGKILL);
    int status = 0;
    if (waitpid(m_id, &status, 0) == m_id)
        recordStatus(status);
}

void ChildProcess::terminate()
{
    m_terminated = true;
    signal(SIGTERM);
}

void ChildProcess::pause()
{
    signal(SIGSTOP);
}

void ChildProcess::resume()
{
    signal(SIGCONT);
}

bool ChildProcess::ended()
{
    if (m_reaped)
        return true;
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) == m_id)
        recordStatus(status);
    return m_reaped;
}

void ChildProcess::signal(int number) const
{
    // The kernel may have reused the id of a reaped process.
    if (!m_reaped)
        ::kill(m_id, number);
}

void ChildProcess::recordStatus(int status)
{
    m_reaped = true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace lentilsaddle::testing_support
