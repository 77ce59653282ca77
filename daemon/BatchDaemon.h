/// @file
/// All tasks of an entry instance that serves batch jobs.
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

/// Creates the tasks and connects them by hooks that post messages.
class BatchDaemon {
public:
    explicit BatchDaemon(state::Settings settings);
    ~BatchDaemon();
    BatchDaemon(const BatchDaemon&) = delete;
    BatchDaemon& operator=(const BatchDaemon&) = delete;

    void start();

    /// Hands the leadership over, finishes the requests in hand and stops all tasks. Blocks until done or until the
    /// shutdown limit has passed.
    /// @return whether everything was finished in time.
    bool shutDown();

private:
    coordination::TaskEnvironment makeEnvironment();
    coordination::batch::BatchOptions batchOptions() const;

    state::Settings m_settings;
    transport::Metrics m_metrics;
    std::unique_ptr<coordination::batch::BatchTask> m_batch;
    std::unique_ptr<platform::BatchApiTask> m_front;
};

} // namespace lentilsaddle::daemon
