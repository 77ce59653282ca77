/// @file
/// Daemon of an entry instance that serves batch jobs.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "state/Settings.h"
#include "transport/Metrics.h"

#include <memory>

namespace lentilsaddle::coordination::batch {
class BatchTask;
struct BatchOptions;
} // namespace lentilsaddle::coordination::batch

namespace lentilsaddle::platform {
class BatchApiTask;
}

namespace lentilsaddle::daemon {

/// Owns the tasks of the instance and connects them by hooks that post messages.
class BatchDaemon {
public:
    explicit BatchDaemon(state::Settings settings);
    ~BatchDaemon();
    BatchDaemon(const BatchDaemon&) = delete;
    BatchDaemon& operator=(const BatchDaemon&) = delete;

    void start();

    /// Steps down as leader, finishes the requests in flight and stops accepting new ones. Blocks until all requests
    /// have finished or the shutdown limit has passed.
    /// @return whether all requests finished within the shutdown limit.
    bool shutDown();

private:
    coordination::TaskEnvironment makeEnvironment();
    coordination::batch::BatchOptions batchOptions() const;

    state::Settings m_settings;
    transport::Metrics m_metrics;
    std::unique_ptr<coordination::batch::BatchTask> m_batch;
    std::unique_ptr<platform::BatchApiTask> m_api;
};

} // namespace lentilsaddle::daemon
