/// @file
/// Discrete-event simulation of a placement policy.
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

/// Time from a preemption until the accelerators are free: checkpoint limit and stop of section 2.3.
constexpr std::chrono::milliseconds preemptionTime { 3000 };

/// Measurements of one simulation, in simulated time.
struct SimulationResult {
    /// Time from submission to completion, by size class.
    std::map<SizeClass, std::vector<std::chrono::milliseconds>> completion;
    /// Longest time from submission to the first start, by size class.
    std::map<SizeClass, std::chrono::milliseconds> longestWait;
    /// Time from submission to the first start of urgent jobs.
    std::vector<std::chrono::milliseconds> urgentWait;
    /// Time from the first preemption in favour of a job to that job's start, for urgent and for other jobs.
    std::vector<std::chrono::milliseconds> urgentReclaim;
    std::vector<std::chrono::milliseconds> reclaim;
    int preemptions = 0;
    /// Largest number of bypasses of one job by jobs that start outside a guarantee.
    int largestBypass = 0;
    /// Accelerators of the largest free adjacent shape, averaged over the time until the last arrival.
    double largestFreeShape = 0;
    /// Share of the free accelerators that the largest guaranteed shape cannot use, averaged over the same time.
    double unusableShare = 0;
};

/// Simulates a list of arrivals until no event remains. Preempted jobs write a checkpoint and resume from it.
class PlacementSimulation {
public:
    PlacementSimulation(coordination::PlacementPolicy policy, std::vector<Arrival> arrivals);

    SimulationResult run();

private:
    struct Job {
        Arrival arrival;
        std::chrono::milliseconds remaining { 0 };
        state::MonotonicTime started;
        state::MonotonicTime completesAt;
        bool everStarted = false;
        int bypassesByBorrowers = 0;
    };

    void advance(state::MonotonicTime to);
    void applyPolicy();
    void start(const coordination::PlacementPlan::Start& start);
    void preempt(const state::JobId& id);
    void complete(const state::JobId& id);
    void release(const state::JobId& id);
    void measureFragmentation(std::chrono::milliseconds duration);

    coordination::PlacementPolicy m_policy;
    std::vector<Arrival> m_arrivals;
    state::PlacementState m_placement;
    std::vector<coordination::QueuedJob> m_queue;
    std::map<state::JobId, Job> m_jobs;
    std::multimap<state::MonotonicTime, state::JobId> m_completions;
    std::multimap<state::MonotonicTime, state::JobId> m_releases;
    state::MonotonicTime m_now;
    state::MonotonicTime m_lastArrival;
    std::map<state::JobId, state::MonotonicTime> m_reclaimSince;
    std::chrono::milliseconds m_measuredTime { 0 };
    SimulationResult m_result;
};

} // namespace lentilsaddle::bench
