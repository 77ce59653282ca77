/// @file
/// The leader's session with one worker.
#pragma once

#include "coordination/batch/Allocation.h"
#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/RunLoss.h"
#include "coordination/batch/StopReason.h"
#include "coordination/batch/WorkerHooks.h"
#include "coordination/decisions/batch/WorkerClock.h"
#include "state/Time.h"
#include "state/batch/BatchWorker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::transport {
class EventLoop;
}

namespace lentilsaddle::coordination::batch {

/// Sends start, stop and observe requests to one worker and tracks the allocations there. Exists for one term.
class WorkerSession {
public:
    using AllocationKey = std::pair<state::batch::BatchTaskId, std::int64_t>;

    struct Hooks {
        state::MonotonicClock clock;
        /// Issues a fencing token above all that were issued in this term before.
        std::function<std::uint64_t()> nextFencingToken;
        /// Whether the leader's lease is valid, so that runs may be started and stopped.
        std::function<bool()> authorised;
        /// Whether leases may be renewed now.
        std::function<bool()> mayRenew;
        /// Whether the known capacity of the worker and the known evacuations are recent enough to start tasks.
        std::function<bool()> mayStart;
        /// Whether nothing may start in a data centre.
        std::function<bool(const state::DataCentreId&)> evacuated;
        /// The worker has seen the fencing token of a later term.
        std::function<void()> onFenced;
        /// A run is to be stopped. The allocation shows its phase before.
        /// @param lostWork work that the stop loses, in core-seconds.
        std::function<void(const Allocation& allocation, const StopCause& cause, double lostWork)> onStopping;
        /// A run ended. The end stays listed until acknowledge().
        /// @param allocation allocation of the run, which has been removed; null if there was none.
        std::function<void(const EndedTask& ended, const Allocation* allocation)> onEnded;
        /// A run has certainly ended without a listed end, or never started. The allocation has been removed.
        std::function<void(const Allocation& lost, RunLoss loss)> onLost;
        /// The worker has ended, and another incarnation or another worker has followed.
        /// @param incarnation incarnation that has ended.
        /// @param startPending whether a run there had not been listed, so that it may have been starting.
        std::function<void(std::int64_t incarnation, bool startPending)> onRestarted;
        /// The worker has confirmed the start of a run, or lists it for the first time; may be called for both.
        std::function<void(const state::batch::BatchTaskId& task)> onBegun;
        /// A run is listed as running.
        std::function<void(Allocation& allocation)> onRunning;
        /// The worker lists a run for which there is no allocation.
        std::function<void(const RunningTask& running)> onUnknownRun;
        /// The free capacity or the usability has changed.
        std::function<void()> onChanged;
    };

    WorkerSession(transport::EventLoop& loop, const WorkerHooks& worker, const BatchOptions& options,
        state::batch::BatchWorker description, Hooks hooks);
    ~WorkerSession();

    const state::batch::BatchWorker& description() const { return m_description; }

    /// Applies the directory entry of the worker.
    /// @param listed whether the directory lists the worker.
    void update(const state::batch::BatchWorker& description, bool listed);
    void setListed(bool listed);
    bool listed() const { return m_listed; }

    /// Adds a run that an earlier leader claimed, with the incarnation of the worker that the claim names.
    void inherit(const Allocation& allocation);

    /// Reserves capacity for a run whose claim is being stored.
    void reserve(const Allocation& allocation);
    /// Sends the start of a reserved run.
    void start(const AllocationKey& key, const std::string& payload);
    /// Releases a reservation for which no start was sent.
    void cancelReservation(const AllocationKey& key);
    /// Stops a run, or ensures that it cannot start. A preempted run whose claim is being stored is withdrawn.
    void stop(const AllocationKey& key, const StopCause& cause);
    /// Stops a run that holds capacity without a claim.
    void stopUnknown(const RunningTask& running, const state::batch::Resources& resources);

    /// Acknowledges the ends up to a number, which have been stored.
    void acknowledge(std::int64_t incarnation, std::int64_t number);

    /// Observes the worker now, unless an observation is in flight.
    void observeNow();

    /// Observes the worker if it has runs and no observation is in flight or due, as after an unexpected error, so that
    /// no lease expires for want of a renewal.
    void resumeObservation();

    /// @return whether the worker is listed, responds and is not draining.
    bool reachable() const;
    /// @return whether nothing may start in the data centre of the worker.
    bool evacuated() const { return m_hooks.evacuated(m_description.dataCentre); }
    /// @return whether the worker is reachable, has responded recently and is not paused.
    bool responsive(state::MonotonicTime now) const;
    /// @return whether new work may be planned for the worker.
    bool usable(state::MonotonicTime now) const { return responsive(now) && !evacuated(); }
    /// @return whether the worker is slow because it has started a short time ago.
    bool cold(state::MonotonicTime now) const { return now < m_coldUntil; }
    /// @return whether the worker has not responded recently, so that only an observation can make it usable.
    bool needsObservation(state::MonotonicTime now) const;

    state::batch::Resources freeCapacity() const;
    const std::map<AllocationKey, Allocation>& allocations() const { return m_allocations; }
    std::int64_t incarnation() const { return m_incarnation; }

    /// Excludes the worker from new work for a time.
    void pause(std::chrono::milliseconds duration);

    /// Declares the runs lost whose lease has expired, if the worker is unresponsive.
    void checkLease();

private:
    /// What the session knew when it sent a request.
    struct RequestOrigin {
        state::MonotonicTime sent {};
        /// Known incarnation of the worker.
        std::int64_t incarnation = 0;
        std::uint64_t fencingToken = 0;
        /// Acknowledgement that the request carries; 0 if it carries none.
        std::int64_t acknowledgedEnd = 0;
    };

    /// Computes the end of the slow time from the directory entry, which was read now.
    void updateColdUntil();
    RequestOrigin requestOrigin() const;
    /// @return the result; if the worker refused the request only for a higher token of this session, as one that was
    /// not delivered.
    WorkerCallResult withoutOwnFence(const RequestOrigin& origin, WorkerCallResult result) const;
    bool respondedRecently(state::MonotonicTime now) const;
    void scheduleObservation(std::chrono::milliseconds delay);
    void observe();
    void onObserved(const RequestOrigin& origin, const Observation& observation);
    /// Records that the worker's incarnation has seen the current fencing token.
    void confirmFencingToken(const RequestOrigin& origin, const WorkerCallResult& result);
    void onUnresponsive(const std::string& error);
    void applyLists(state::MonotonicTime sent, const Observation& observation);
    void applyEnds(const Observation& observation);
    void dropMissing(state::MonotonicTime sent, const Observation& observation);
    /// Stops a run that an observation does not list, if a start request without a response may still be executed.
    void stopOutstandingStart(const AllocationKey& key, state::MonotonicTime sent);
    void updateIncarnation(std::int64_t incarnation);
    /// @return whether an incarnation that has ended may have sent the response.
    bool fromEarlierIncarnation(const RequestOrigin& origin, const WorkerCallResult& result) const;
    /// Sends the stops again that an earlier incarnation may have acknowledged.
    void repeatStops();
    /// @return whether a run has not been listed, so that it may be starting.
    bool startPending() const;
    bool startedOnEarlierIncarnation(const Allocation& allocation) const;
    /// @return whether the run ended with an earlier incarnation of the worker, which had listed it, and cannot start
    /// again.
    bool endedWithIncarnation(const Allocation& allocation) const;
    /// @return whether a run that an observation does not list has ended and cannot start any more.
    /// @param sent when the observation was sent.
    bool endedUnlessListed(const Allocation& allocation, state::MonotonicTime sent) const;
    void updateFromResponse(const RequestOrigin& origin, const WorkerCallResult& result);
    void sendStart(const AllocationKey& key, const std::string& payload);
    void onStarted(const AllocationKey& key, const RequestOrigin& origin, const std::string& payload,
        const WorkerCallResult& result);
    void onStartTimedOut(const AllocationKey& key, const std::string& payload);
    void retryStartLater(const AllocationKey& key, const std::string& payload);
    void abandonStart(const AllocationKey& key);
    void sendStop(const AllocationKey& key);
    void onStopped(const AllocationKey& key, const RequestOrigin& origin, const WorkerCallResult& result);
    /// Writes the outcome of a stop to the log.
    void logStop(const char* message, const AllocationKey& key, const WorkerCallResult& result, int failedStops) const;
    void declareAllLost(RunLoss loss);
    void declareLost(const AllocationKey& key, RunLoss loss);
    std::chrono::milliseconds nextLeaseEnd();
    /// @return until when the worker may have executed a request with a lower fencing token than the current one.
    state::MonotonicTime latestFencedExecution() const;
    /// @return when the lease of a run has ended at the latest, if the worker does not respond any more.
    state::MonotonicTime latestLeaseEnd(const Allocation& allocation) const;

    transport::EventLoop& m_loop;
    const WorkerHooks& m_worker;
    const BatchOptions& m_options;
    state::batch::BatchWorker m_description;
    Hooks m_hooks;
    /// Token of the requests to the worker. It rises with each incarnation that becomes known, so that the new one
    /// refuses the requests that were sent before.
    std::uint64_t m_fencingToken;
    /// When the first response arrived that shows that the known incarnation has seen the token; empty before.
    std::optional<state::MonotonicTime> m_fencingTokenConfirmed;
    bool m_listed = true;
    std::int64_t m_incarnation = 0;
    /// Incarnations that another one has followed, which an old entry of the directory may name.
    std::set<std::int64_t> m_endedIncarnations;
    /// Until when the worker is slow after its start, from the directory entry that last stated another time.
    state::MonotonicTime m_coldUntil {};
    WorkerClock m_clock;
    /// Highest lease end ever sent under this term, on the worker's clock.
    std::chrono::milliseconds m_latestLeaseEnd { 0 };
    /// When the last request with a lease was sent, to any incarnation.
    std::optional<state::MonotonicTime> m_latestLeaseRequest;
    /// When the last request was sent whose lease end was meant for the clock of an earlier incarnation.
    std::optional<state::MonotonicTime> m_earlierClockRequest;
    state::MonotonicTime m_termStart;
    bool m_reachable = false;
    bool m_observing = false;
    std::uint64_t m_observationTimer = 0;
    std::optional<state::MonotonicTime> m_lastResponse;
    std::optional<state::MonotonicTime> m_unresponsiveSince;
    std::optional<state::MonotonicTime> m_pausedUntil;
    std::map<AllocationKey, Allocation> m_allocations;
    /// Ends up to this number have been passed to the hooks.
    std::int64_t m_seenEnd = 0;
    std::int64_t m_acknowledgedEnd = 0;
    /// The known incarnation has received the acknowledgement up to this number. It is not sent again, because a later
    /// incarnation numbers its ends from 1 and would forget some that it has not listed yet.
    std::int64_t m_deliveredAcknowledgement = 0;
    /// Calls in flight hold a weak reference, so that a response after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
