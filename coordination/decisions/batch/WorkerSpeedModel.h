/// @file
/// Relative speed of workers, learned from the progress of sibling tasks.
#pragma once

#include "coordination/decisions/batch/WorkerSpeedSample.h"
#include "state/Identifier.h"
#include "state/Time.h"
#include "state/batch/WorkerSpeedSummary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Estimates the run time of tasks on each worker, relative to the usual worker. Tasks of one step are siblings: the
/// estimate of their job is wrong by the same factor for all of them, so the ratio of their rates on different workers
/// shows the speed of the workers alone.
class WorkerSpeedModel {
public:
    /// Result for one worker; logarithms, so that twice as slow and twice as fast are at the same distance from 0.
    struct Estimate {
        double logarithm = 0;
        double deviation = 0;
    };

    /// Records the rate of a task in a part of its run.
    void recordRate(const WorkerSpeedSample& sample, state::MonotonicTime now);

    /// Records the progress of a task since its start. Only a worker with a straggler is marked as slow, for a short
    /// time.
    void recordProgress(const WorkerSpeedSample& sample, state::MonotonicTime now);

    /// @return run time of tasks relative to the usual worker. 1 if unknown, or if it differs by less than its error.
    double relativeRunTime(const state::WorkerId& worker, std::int64_t incarnation, state::MonotonicTime now) const;

    /// @return how much longer a straggler now takes on the worker than its queue's usual run time; 1 if none does.
    double stragglerSlowness(const state::WorkerId& worker, state::MonotonicTime now) const;

    /// @return number of workers that are remembered for a straggler.
    std::size_t suspectedWorkers() const { return m_suspicions.size(); }

    /// @return the estimate, without regard to its error and to stragglers.
    Estimate estimate(const state::WorkerId& worker, std::int64_t incarnation, state::MonotonicTime now) const;

    /// @return whether the speeds of the workers are known to differ, beyond the error of the estimates.
    bool speedsDiffer() const { return m_differ; }

    /// Judges again whether the speeds differ, and forgets workers that have run nothing for long. Called seldom,
    /// because it looks at each worker.
    void judgeSpread(state::MonotonicTime now);

    /// @return the workers whose speed is known best, at most `maximum`.
    state::batch::WorkerSpeedSummary summary(std::size_t maximum, state::MonotonicTime now) const;

    /// Starts from the summary of an earlier leader, whose age is unknown.
    void restore(const state::batch::WorkerSpeedSummary& summary, state::MonotonicTime now);

private:
    struct Worker {
        std::int64_t incarnation = 0;
        double logarithm = 0;
        double variance = 0;
        state::MonotonicTime updated {};
        /// Latest observations in a row that were clamped, negative if the worker was faster than expected.
        int clampedInARow = 0;
    };

    struct Suspicion {
        double relativeRunTime = 1;
        state::MonotonicTime until {};
    };

    struct Observation {
        state::WorkerId worker;
        std::int64_t incarnation = 0;
        /// Logarithm of the ratio of the run time to the estimate.
        double logarithm = 0;
        double noise = 0;
        bool atLeast = false;
        /// Siblings on the worker of which the values are the mean.
        int samples = 1;
    };

    /// A value with the inverse of its variance.
    struct Deviation {
        double value = 0;
        double precision = 0;
    };

    /// Siblings; their common error is learned with the speeds.
    struct Siblings {
        double logarithm = 0;
        /// Inverse of the variance.
        double precision = 0;
        /// One of each worker: tasks on the same worker are no independent evidence of its speed.
        std::vector<Observation> pending;
        int pendingSamples = 0;
        state::MonotonicTime firstPending {};
        state::MonotonicTime updated {};
    };

    /// What is known of the jobs of a queue.
    struct Queue {
        /// Usual logarithm of the ratio of run time to estimate.
        double logarithm = 0;
        int samples = 0;
        /// Variance by which the run times of siblings differ on equal workers.
        double noise = 0;
    };

    double varianceAt(const Worker& worker, state::MonotonicTime now) const;
    Worker& workerOf(const state::WorkerId& worker, std::int64_t incarnation, state::MonotonicTime now);
    static void addPending(Siblings& siblings, const Observation& observation);
    /// Learns the usual error of a queue's estimates from siblings that have run on one worker only.
    void learnUsualError(Siblings& siblings, const std::string& queue, state::MonotonicTime now);
    void apply(Siblings& siblings, const std::string& queue, state::MonotonicTime now);
    /// @return the weighted mean, which a single straggler hardly moves.
    static double robustCentre(std::vector<Deviation> deviations);
    void forgetOldSiblings(state::MonotonicTime now);

    std::map<std::string, Queue> m_queues;
    std::map<state::WorkerId, Worker> m_workers;
    std::map<state::WorkerId, Suspicion> m_suspicions;
    std::map<SiblingKey, Siblings> m_siblings;
    bool m_differ = false;
    /// Variance of the speeds over the workers.
    double m_spread = 0;
    /// Mean logarithm of the known workers, which an error common to all of them moves.
    double m_centre = 0;
};

} // namespace lentilsaddle::coordination::batch
