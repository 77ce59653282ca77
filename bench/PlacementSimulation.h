/// @file
/// Discrete-event loop over a placement policy.
#pragma once

#include "bench/Arrivals.h"
#include "coordination/decisions/PlacementPlan.h"
#include "coordination/decisions/PlacementPolicy.h"
#include "coordination/decisions/QueuedJob.h"
#include "state/PlacementState.h"

#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace lentilsaddle::bench {

/// Checkpoint limit and stop of section 2.3: the time from a preemption to free accelerators.
constexpr std::chrono::milliseconds preemptionTime { 3000 };

/// What one run measured, in manual time.
struct SimulationResult {
    /// Submission to end, by size class.
    std::map<SizeClass, std::vector<std::chrono::milliseconds>> completion;
    std::map<SizeClass, std::chrono::milliseconds> longestWait;
    /// Submission to start of urgent jobs.
    std::vector<std::chrono::milliseconds> urgentWait;
    /// First preemption for a job to the job's start, for urgent and for other jobs.
    std::vector<std::chrono::milliseconds> urgentReclaim;
    std::vector<std::chrono::milliseconds> reclaim;
    int preemptions = 0;
    /// Most often that one job was passed by jobs outside a guarantee.
    int largestBypass = 0;
    /// Averages over the time of the arrivals.
    double largestFreeShape = 0;
    double unusableShare = 0;
};

/// Runs a list of arrivals to its end. Preempted jobs write a checkpoint and resume where they stopped.
class PlacementSimulation {
public:
    PlacementSimulation(coordination::PlacementPolicy policy, std::vector<Arrival> arrivals);

    SimulationResult run();

private:
    struct Job {
        Arrival arrival;
        std::chrono::milliseconds remaining { 0 };
        state::MonotonicTime started;
        state::MonotonicTime ends;
        bool everStarted = false;
        int passedByBorrowers = 0;
    };

    void advance(state::MonotonicTime to);
    void decide();
    void start(const coordination::PlacementPlan::Start& start);
    void preempt(const state::JobId& id);
    void finish(const state::JobId& id);
    void release(const state::JobId& id);
    void measureFragmentation(std::chrono::milliseconds length);

    coordination::PlacementPolicy m_policy;
    std::vector<Arrival> m_arrivals;
    state::PlacementState m_placement;
    std::vector<coordination::QueuedJob> m_queue;
    std::map<state::JobId, Job> m_jobs;
    std::multimap<state::MonotonicTime, state::JobId> m_ends;
    std::multimap<state::MonotonicTime, state::JobId> m_releases;
    state::MonotonicTime m_now;
    state::MonotonicTime m_lastArrival;
    std::map<state::JobId, state::MonotonicTime> m_reclaimSince;
    std::chrono::milliseconds m_measured { 0 };
    SimulationResult m_result;
};

} // namespace lentilsaddle::bench
