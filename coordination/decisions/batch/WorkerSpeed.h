/// @file
/// Relative speed of workers, estimated from the run times of their tasks.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <map>
#include <string>

namespace lentilsaddle::coordination::batch {

/// Compares run times with estimates. Estimates of one queue are wrong in the same direction, so a worker is compared
/// with the mean of the queue over all workers.
class WorkerSpeed {
public:
    /// Records a completed task that did not resume from a checkpoint.
    void recordCompletion(const state::WorkerId& worker, const std::string& queue, std::chrono::milliseconds duration,
        std::chrono::milliseconds estimate);

    /// Records the progress of a running task. Only a worker with a straggler is marked as slow, for a short time.
    /// @param percent share of the work that is done.
    void recordProgress(const state::WorkerId& worker, const std::string& queue, std::chrono::milliseconds elapsed,
        int percent, std::chrono::milliseconds estimate, state::MonotonicTime now);

    /// @return run time of tasks relative to other workers; 1 if unknown.
    double slowness(const state::WorkerId& worker, state::MonotonicTime now) const;

private:
    struct Mean {
        /// Mean logarithm of the ratio of run time to estimate.
        double logarithm = 0;
        int samples = 0;

        void add(double sample);
    };

    struct Suspicion {
        double slowness = 1;
        state::MonotonicTime until {};
    };

    double queueMean(const std::string& queue) const;

    std::map<std::string, Mean> m_queues;
    std::map<state::WorkerId, Mean> m_workers;
    std::map<state::WorkerId, Suspicion> m_suspicions;
};

} // namespace lentilsaddle::coordination::batch
