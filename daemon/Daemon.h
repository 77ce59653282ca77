/// @file
/// Daemon of an entry instance that serves requests and gang jobs.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "state/Settings.h"
#include "transport/Metrics.h"

#include <functional>
#include <memory>

namespace lentilsaddle::coordination {
class ApiTask;
class ConfigurationTask;
class LogTask;
struct LogTaskOptions;
class PeerTask;
class RequestTask;
class SchedulerTask;
class TimelineTask;
} // namespace lentilsaddle::coordination

namespace lentilsaddle::daemon {

/// Owns the tasks of the instance, connects them by hooks that post messages, and stops them in order.
class Daemon {
public:
    explicit Daemon(state::Settings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void start();

    /// Finishes the requests in flight, transfers the scheduler role and stops accepting new requests. Blocks until
    /// this is done or the shutdown limit has passed.
    /// @return whether it was done within the shutdown limit.
    bool shutDown();

private:
    coordination::TaskEnvironment makeEnvironment();
    void createTasks();
    coordination::LogTaskOptions logTaskOptions();
    void createApiTask();
    void connectTasks();
    void startDrain(const std::function<void()>& onDrained);

    state::Settings m_settings;
    transport::Metrics m_metrics;
    coordination::TaskEnvironment m_environment;
    std::unique_ptr<coordination::TimelineTask> m_timeline;
    std::unique_ptr<coordination::LogTask> m_log;
    std::unique_ptr<coordination::ConfigurationTask> m_configuration;
    std::unique_ptr<coordination::RequestTask> m_requests;
    std::unique_ptr<coordination::SchedulerTask> m_scheduler;
    std::unique_ptr<coordination::PeerTask> m_peers;
    std::unique_ptr<coordination::ApiTask> m_api;
};

} // namespace lentilsaddle::daemon
