/// @file
/// The leader's scheduler of batch jobs.
#pragma once

#include "coordination/batch/Allocation.h"
#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/JournalHooks.h"
#include "coordination/batch/RunOverview.h"
#include "coordination/batch/WorkerHooks.h"
#include "coordination/batch/WorkerSession.h"
#include "coordination/decisions/WorkerQuarantine.h"
#include "coordination/decisions/batch/BatchPlanner.h"
#include "coordination/decisions/batch/CrashAttribution.h"
#include "coordination/decisions/batch/FencingTokens.h"
#include "coordination/decisions/batch/LagMonitor.h"
#include "coordination/decisions/batch/RestartHistory.h"
#include "coordination/decisions/batch/ServiceAging.h"
#include "coordination/decisions/batch/StartCheck.h"
#include "coordination/decisions/batch/WorkerSpeedModel.h"
#include "state/Time.h"
#include "state/batch/BatchTable.h"
#include "state/batch/BatchWorker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lentilsaddle::transport {
class EventLoop;
class Metrics;
} // namespace lentilsaddle::transport

namespace lentilsaddle::coordination::batch {

/// Schedules batch jobs for one term: claims, starts and stops runs, and stores their ends.
class BatchScheduler {
public:
    struct Hooks {
        state::MonotonicClock clock;
        state::WallClock wallClock;
        /// Whether the leader's lease is valid, so that runs may be claimed, started and stopped.
        std::function<bool()> authorised;
        /// Whether leases may be renewed now.
        std::function<bool()> mayRenew;
        /// Whether the known capacities of the workers are recent enough to start tasks.
        std::function<bool()> directoryCurrent;
        /// Whether the known evacuations are recent enough to start tasks.
        std::function<bool()> evacuationsCurrent;
        /// Whether nothing may start in a data centre.
        std::function<bool(const state::DataCentreId&)> evacuated;
        /// Stores records of tasks and applies them to the table, then calls back.
        std::function<void(std::vector<std::pair<state::batch::BatchTaskId, state::batch::BatchTaskState>> states,
            std::function<void()> onStored)>
            storeTasks;
        /// Records that a worker has begun a task of a job, in the table at once and in the journal soon.
        std::function<void(const state::JobId& job)> storeStart;
        /// Stores the learned speeds of the workers, for the next leader.
        std::function<void(const state::batch::WorkerSpeedSummary& speeds)> storeSpeeds;
        /// A worker has seen a later term.
        std::function<void()> onFenced;
        /// Accelerators guaranteed to an account.
        std::function<std::int64_t(const state::AccountId&)> guarantee;
    };

    BatchScheduler(transport::EventLoop& loop, const BatchOptions& options, const WorkerHooks& worker,
        std::uint64_t term, const state::batch::BatchTable& table, transport::Metrics& metrics, Hooks hooks);
    ~BatchScheduler();

    /// Inherits the claims and the learned speeds of earlier terms and observes all workers.
    void start(const std::map<state::WorkerId, state::batch::BatchWorker>& workers,
        const state::batch::WorkerSpeedSummary& speeds);

    /// Applies a change of the directory.
    void onWorkers(const std::map<state::WorkerId, state::batch::BatchWorker>& workers);

    /// Called after each successful read of the directory or of the operator's stream.
    void onStreamRead();

    /// Called when a data centre became evacuated, or ceased to be.
    void onEvacuationsChanged() { requestPlan(); }

    /// Called when jobs or cancellations were added to the table.
    void onTableChanged() { requestPlan(); }

private:
    /// Runs of one gang, or of one task: job, occurrence, step, index (-1 for a gang), run.
    using GroupKey = std::tuple<state::JobId, int, int, int, std::int64_t>;
    using TaskStates = std::vector<std::pair<state::batch::BatchTaskId, state::batch::BatchTaskState>>;

    /// Wait of a step that only runs on lent capacity keep from starting.
    struct Delay {
        state::MonotonicTime since {};
        state::MonotonicTime lastSeen {};
    };

    /// Worker chosen for a task.
    struct Place {
        /// Index of the task in its step.
        int index = 0;
        state::WorkerId worker;
        /// The capacity is reserved for another unit.
        bool backfilled = false;
    };

    /// Tasks of one unit, with the workers that they are claimed for.
    using ClaimedTasks = std::vector<std::pair<state::batch::BatchTaskId, state::WorkerId>>;

    struct PendingEnds {
        /// Ends that are being stored.
        int stores = 0;
        /// Highest number of an end.
        std::int64_t highest = 0;
    };

    /// Worker that did not respond until its lease expired, with its runs.
    struct ExpiredWorker {
        std::string address;
        std::int64_t incarnation = 0;
        state::MonotonicTime since {};
        std::vector<Allocation> runs;
    };

    /// Crash of a worker that had, or may have had, a run. It may become known after the task has been queued again.
    struct Crash {
        state::WorkerId worker;
        Allocation allocation;
        bool attributed = false;
        /// When it became known.
        state::MonotonicTime since {};
    };

    /// Work that a run has done.
    struct Progress {
        /// In hundredths.
        int percent = 0;
        /// It was done some time before, at a time that is not known.
        bool atLeast = false;
    };

    /// Failure of a run that was listed after the run had been taken for lost.
    struct LateFailure {
        state::batch::BatchTaskId task;
        std::int64_t run = 0;
    };

    WorkerSession& sessionFor(const state::batch::BatchWorker& worker);
    WorkerSession::Hooks sessionHooks(const state::WorkerId& worker);
    void inheritClaims(const std::map<state::WorkerId, state::batch::BatchWorker>& workers);
    void inheritClaim(const state::batch::BatchJobEntry& entry, const state::batch::BatchTaskId& task,
        const state::batch::BatchTaskState& claimed,
        const std::map<state::WorkerId, state::batch::BatchWorker>& workers);

    void onStopping(const Allocation& allocation, const StopCause& cause, double lostWork);
    /// Counts a run that ended early, with the work that it lost, in core-seconds.
    void countStoppedRun(const char* reason, double lostWork);
    /// Counts a run that ended early although the leader did not stop it.
    void countInterruptedRun(const Allocation& allocation, const char* reason);
    void onEnded(const state::WorkerId& worker, const EndedTask& ended, const Allocation* allocation);
    void recordSpeed(const state::WorkerId& worker, const Allocation& allocation);
    void onLost(const state::WorkerId& worker, const Allocation& lost, RunLoss loss);
    /// @return state of the run's task if it is claimed for the run, its job is not finished, and its completion is not
    /// being stored.
    std::optional<state::batch::BatchTaskState> claimedState(
        const state::WorkerId& worker, const Allocation& allocation) const;
    static void requeue(state::batch::BatchTaskState& taskState, const Allocation& lost);
    /// @return whether the loss shows that the worker crashed while it had the run, or while it may have had it.
    /// @param incarnation incarnation of the worker that the run was claimed for; 0 if unknown.
    bool crashedUnder(const state::WorkerId& worker, std::int64_t incarnation, RunLoss loss) const;
    void addCrashedRun(const state::WorkerId& worker, const Allocation& lost);
    void onWorkerCrashed(const state::WorkerId& worker);
    /// @param incarnation incarnation that has ended.
    void onRestarted(const state::WorkerId& worker, std::int64_t incarnation, bool startPending);
    /// @return for each run, whether the crash is attributed to it.
    std::vector<bool> attributedRuns(const state::WorkerId& worker, const std::vector<Allocation>& runs) const;
    void countCrash(state::batch::BatchTaskState& taskState, const Crash& crash);
    /// Gives tasks up that crash their workers, once it is known that the crash has no other cause.
    void judgeSuspects();
    void logGivenUp(const state::batch::BatchTaskId& task, const state::batch::BatchTaskState& taskState);
    void addExpiredRun(const state::WorkerId& worker, const Allocation& lost);
    /// @return whether the worker was only cut off.
    bool respondsAgain(const state::WorkerId& worker, const ExpiredWorker& expired) const;
    bool restartedSince(const state::WorkerId& worker, const ExpiredWorker& expired) const;
    /// Finds workers that have returned after their leases expired, and had thus crashed.
    void checkExpiredWorkers();
    /// Stores crashes of such workers under tasks that are queued.
    void storeLateCrashes();
    /// Stores late failures of tasks that are queued.
    void storeLateFailures();
    /// @return whether the task has ended, so that a late crash or failure changes nothing.
    bool lateChangeObsolete(const state::batch::BatchTaskId& task) const;
    /// @return whether the record of the task may be written now. That of a claimed one follows when its run ends.
    bool mayStoreLateChange(const state::batch::BatchTaskId& task) const;
    /// Stores states of queued tasks, which are not claimed until then.
    void storeLateStates(TaskStates states);
    /// A worker has begun a task of a job.
    void onBegun(const state::JobId& job) const;
    void onRunning(const state::WorkerId& worker, Allocation& allocation);
    /// Judges whether the workers differ in speed, and stores what is known if it has changed.
    void updateSpeeds();
    WorkerSpeedSample speedSample(const state::WorkerId& worker, const Allocation& allocation) const;
    void recordRate(const state::WorkerId& worker, const Allocation& allocation, const Progress& progress);
    void onUnknownRun(const state::WorkerId& worker, const RunningTask& running);
    /// Stores the states that follow from ends listed by an incarnation of a worker, then acknowledges the ends.
    void storeEnd(const state::WorkerId& worker, std::int64_t incarnation, TaskStates states);
    TaskStates statesAfterEnd(const state::WorkerId& worker, const EndedTask& ended) const;
    void updateQuarantine(const state::WorkerId& worker, const EndedTask& ended);
    GroupKey groupOf(const state::batch::BatchTaskId& task, std::int64_t run) const;

    using StepKey = std::tuple<state::JobId, int, int>;

    void requestPlan();
    void refresh();
    /// Removes what only the planning of jobs that have ended needed.
    void removeEndedJobs();
    void plan();
    /// Reports that the leader is behind, if the round that begins now is late.
    void recordLag(state::MonotonicTime begin);
    void planRound();
    void stopObsoleteRuns(const RunOverview& overview) const;
    void stopIncompleteGangs(const RunOverview& overview);
    bool gangIncomplete(const RunOverview& overview, const RunOverview::Group& gang, state::MonotonicTime now) const;
    /// @return whether nothing may be placed, because the view of the directory or of the evacuations is too old.
    bool waitForStreams();
    void probeWorkers();
    PlanInput makeInput(const RunOverview& overview);
    void addUnits(PlanInput& input, const RunOverview& overview);
    /// @param newTasks tasks of the job that may begin beside its open ones; reduced by those that the step offers.
    void addStep(PlanInput& input, const state::batch::BatchJobEntry& entry, int occurrence, int step,
        const std::vector<std::chrono::milliseconds>& criticalPaths, int& newTasks);
    /// Adds the unit of a step, and another one for its tasks that may crash their workers.
    void addStepUnits(PlanInput& input, BatchUnit unit, const std::vector<int>& suspects);
    /// @return whether a claim or a completion of the task is being stored.
    bool isBeingStored(const state::batch::BatchTaskId& task) const;
    /// @return whether a queued task must not be claimed now.
    bool isHeld(const state::batch::BatchTaskId& task) const;
    void excludeAllocatedTasks(PlanInput& input, const RunOverview& overview) const;
    void addGroups(PlanInput& input, const RunOverview& overview) const;
    void addWorkers(PlanInput& input, const RunOverview& overview);
    /// @return whether enough workers are known to choose the runs that are preempted.
    bool preemptionAllowed(state::MonotonicTime now);
    void markGuaranteed(PlanInput& input, const RunOverview& overview) const;
    /// Records since when units have been delayed by runs on lent capacity.
    void recordDelays(const BatchPlanner& planner, const BatchPlan& plan);
    void executePlan(const BatchPlanner& planner, const RunOverview& overview, const BatchPlan& plan);
    void claim(const BatchUnit& unit, const std::vector<Place>& places);
    /// Starts the tasks of a unit whose claims have been stored, and gives back the claims that no longer fit.
    void startClaimed(const ClaimedTasks& tasks);
    std::vector<StartDecision> checkStarts(const ClaimedTasks& tasks) const;
    void startTask(
        const state::batch::BatchJobEntry& entry, const state::batch::BatchTaskId& id, const state::WorkerId& worker);
    /// Releases the reservation of a claim. No start was sent, so its run is no attempt.
    /// @return the state to store.
    state::batch::BatchTaskState releaseClaim(const state::batch::BatchJobEntry& entry,
        const state::batch::BatchTaskId& id, const state::WorkerId& worker, StartDecision reason);
    void cancelReservation(const state::WorkerId& worker, const WorkerSession::AllocationKey& key);

    transport::EventLoop& m_loop;
    const BatchOptions& m_options;
    const WorkerHooks& m_worker;
    std::uint64_t m_term;
    FencingTokens m_fencingTokens;
    const state::batch::BatchTable& m_table;
    transport::Metrics& m_metrics;
    Hooks m_hooks;
    std::map<state::WorkerId, std::unique_ptr<WorkerSession>> m_sessions;
    /// By worker and incarnation, because the numbers of ends restart with each incarnation.
    std::map<std::pair<state::WorkerId, std::int64_t>, PendingEnds> m_pendingEnds;
    /// Tasks for which a claim, a late crash or a late failure is being stored.
    std::set<state::batch::BatchTaskId> m_claiming;
    /// Tasks whose completion is being stored.
    std::set<state::batch::BatchTaskId> m_completing;
    /// Runs with a completed member; the ends of the other members of a gang follow.
    std::set<GroupKey> m_doneRuns;
    std::map<StepKey, state::MonotonicTime> m_readySince;
    std::map<StepKey, std::set<state::WorkerId>> m_failedOn;
    /// Steps that only runs on lent capacity keep from starting.
    std::map<StepKey, Delay> m_delays;
    /// Runs of workers that have crashed, until the session has reported all of them.
    std::map<state::WorkerId, std::vector<Allocation>> m_crashedRuns;
    std::map<state::WorkerId, ExpiredWorker> m_expiredWorkers;
    std::vector<Crash> m_lateCrashes;
    std::vector<LateFailure> m_lateFailures;
    /// Tasks that are to be given up for the crash of their worker, with the time when it became known.
    std::map<state::batch::BatchTaskId, state::MonotonicTime> m_suspects;
    RestartHistory m_restarts;
    /// Incarnations that have announced their shutdown.
    std::map<state::WorkerId, std::int64_t> m_drainingIncarnations;
    /// Since when a step has waited for workers on which its start shows whether it crashes them.
    std::map<StepKey, state::MonotonicTime> m_isolationSince;
    WorkerQuarantine m_quarantine;
    WorkerSpeedModel m_speed;
    state::MonotonicTime m_spreadJudged {};
    state::MonotonicTime m_speedsStored {};
    state::batch::WorkerSpeedSummary m_storedSpeeds;
    ServiceAging m_aging;
    state::MonotonicTime m_termStart {};
    /// All workers have responded in this term, or had time to do so.
    bool m_workersKnown = false;
    /// Capacity that the last planning round holds for units while runs are stopped.
    std::vector<CapacityHold> m_holds;
    bool m_planRequested = false;
    /// When the requested planning round is due.
    state::MonotonicTime m_planDue {};
    LagMonitor m_lag { {} };
    /// Nothing is placed until the directory and the operator's stream have been read.
    bool m_waitingForStreams = false;
    /// When the last planning round ended, and how long it took.
    state::MonotonicTime m_lastPlan {};
    std::chrono::microseconds m_planDuration { 0 };
    /// Calls in flight hold a weak reference, so that a response after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
