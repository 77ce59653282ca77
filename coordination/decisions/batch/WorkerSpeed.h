/// @file
/// Learns which workers are slow from the run times of their tasks.
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
    /// Notes a task that ran to its end without a checkpoint.
    void recordCompletion(const state::WorkerId& worker, const std::string& queue, std::chrono::milliseconds duration,
        std::chrono::milliseconds estimate);

    /// Notes the progress of a running task; only a worker that is far behind is remembered, for a short time.
    /// @param percent share of the work that is done.
    void recordProgress(const state::WorkerId& worker, const std::string& queue, std::chrono::milliseconds elapsed,
        int percent, std::chrono::milliseconds estimate, state::MonotonicTime now);

    /// @return how many times as long as elsewhere a task takes; 1 if nothing is known.
    double slowness(const state::WorkerId& worker, state::MonotonicTime now) const;

private:
    struct Mean {
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
