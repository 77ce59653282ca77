/// @file
/// The leader's dealings with one worker.
#pragma once

#include "coordination/batch/Allocation.h"
#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/WorkerHooks.h"
#include "coordination/decisions/batch/WorkerClock.h"
#include "state/Time.h"
#include "state/batch/BatchWorker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::transport {
class EventLoop;
}

namespace lentilsaddle::coordination::batch {

/// Sends starts, stops and observations to one worker and keeps what takes room there. Belongs to one term.
class WorkerSession {
public:
    using AllocationKey = std::pair<state::batch::BatchTaskId, std::int64_t>;

    struct Hooks {
        state::MonotonicClock clock;
        /// Whether orders may be given now.
        std::function<bool()> authorised;
        /// Whether leases may be renewed now.
        std::function<bool()> mayRenew;
        /// The worker has seen a later term.
        std::function<void()> onFenced;
        /// A run ended. The end stays listed until acknowledge().
        /// @param occupant what took the room, which has been removed; null if nothing did.
        std::function<void(const EndedTask& ended, const Allocation* allocation)> onEnded;
        /// A run has certainly ended without a listed end, or never began. The occupant has been removed.
        std::function<void(const Allocation& lost, const std::string& reason)> onLost;
        /// A run is listed as running.
        std::function<void(const Allocation& allocation)> onRunning;
        /// The worker runs something that this leader does not know.
        std::function<void(const RunningTask& running)> onUnknownRun;
        /// Room or usability changed.
        std::function<void()> onChanged;
    };

    WorkerSession(transport::EventLoop& loop, const WorkerHooks& worker, const BatchOptions& options,
        std::uint64_t term, state::batch::BatchWorker description, Hooks hooks);
    ~WorkerSession();

    const state::batch::BatchWorker& description() const { return m_description; }

    /// Takes over what the directory says.
    /// @param listed whether the directory lists the worker.
    void update(const state::batch::BatchWorker& description, bool listed);
    void setListed(bool listed);
    bool listed() const { return m_listed; }

    /// Adds what an earlier leader claimed.
    void inherit(const Allocation& allocation, std::int64_t incarnation);

    /// Takes room for a run whose claim is being stored.
    void reserve(const Allocation& allocation);
    /// Sends the start of a reserved run.
    void start(const AllocationKey& key, const std::string& payload);
    /// Gives room back that was reserved and for which nothing was sent.
    void cancelReservation(const AllocationKey& key);
    /// Stops a run, or makes sure that it cannot begin.
    void stop(const AllocationKey& key, const std::string& reason);
    /// Stops a run that takes room although nobody claimed it.
    void stopUnknown(const RunningTask& running, const state::batch::Resources& need);

    /// Acknowledges ends; they have been stored.
    void acknowledge(std::int64_t incarnation, std::int64_t number);

    /// Looks at the worker now, unless that is under way.
    void observeNow();

    /// @return whether new work may be sent.
    bool usable() const;
    /// @return whether a look would make an unknown worker usable.
    bool needsObservation() const;

    state::batch::Resources freeCapacity() const;
    const std::map<AllocationKey, Allocation>& allocations() const { return m_allocations; }
    std::int64_t incarnation() const { return m_incarnation; }

    /// Keeps new work away for a time.
    void pause(std::chrono::milliseconds duration);

    /// Declares what is lost if the worker has been silent for longer than its lease.
    void checkLease();

private:
    bool respondedRecently() const;
    void scheduleObservation(std::chrono::milliseconds delay);
    void observe();
    void onObserved(state::MonotonicTime sent, const Observation& observation);
    void onUnresponsive(const std::string& error);
    void applyLists(state::MonotonicTime sent, const Observation& observation);
    void applyEnds(const Observation& observation);
    void dropMissing(state::MonotonicTime sent, const Observation& observation);
    void updateIncarnation(std::int64_t incarnation);
    void updateFromResponse(const WorkerCallResult& result);
    void sendStart(const AllocationKey& key, const std::string& payload);
    void onStarted(const AllocationKey& key, const std::string& payload, const WorkerCallResult& result);
    void onStartTimedOut(const AllocationKey& key, const std::string& payload);
    void retryStartLater(const AllocationKey& key, const std::string& payload);
    void abandonStart(const AllocationKey& key);
    void sendStop(const AllocationKey& key);
    void onStopped(const AllocationKey& key, const WorkerCallResult& result);
    void declareAllLost(const std::string& reason, bool keepUncertain);
    void declareLost(const AllocationKey& key, const std::string& reason);
    std::chrono::milliseconds nextLeaseEnd();

    transport::EventLoop& m_loop;
    const WorkerHooks& m_worker;
    const BatchOptions& m_options;
    std::uint64_t m_term;
    state::batch::BatchWorker m_description;
    Hooks m_hooks;
    bool m_listed = true;
    std::int64_t m_incarnation = 0;
    WorkerClock m_clock;
    /// Highest lease end ever sent under this term, on the worker's clock.
    std::chrono::milliseconds m_latestLeaseEnd { 0 };
    state::MonotonicTime m_termStart;
    bool m_observed = false;
    bool m_reachable = false;
    bool m_observing = false;
    std::uint64_t m_observationTimer = 0;
    std::optional<state::MonotonicTime> m_lastResponse;
    std::optional<state::MonotonicTime> m_unresponsiveSince;
    std::optional<state::MonotonicTime> m_pausedUntil;
    std::map<AllocationKey, Allocation> m_allocations;
    /// Ends up to this number have been handed to the hooks.
    std::int64_t m_seenEnd = 0;
    std::int64_t m_acknowledgedEnd = 0;
    /// Calls in flight hold a weak reference, so that an answer after the destruction is dropped.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lentilsaddle::coordination::batch
