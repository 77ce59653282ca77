/// @file
/// Workers of the data centre and their availability to the scheduler.
#pragma once

#include "coordination/decisions/WorkerQuarantine.h"
#include "protocol/WorkerClient.h"
#include "protocol/WorkerDirectory.h"
#include "protocol/WorkerResponse.h"
#include "state/PlacementState.h"
#include "state/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentilsaddle::coordination {

/// Reads the list of workers, fences each worker once per epoch, and updates the availability of the workers in the
/// placement state. A worker is available after it acknowledged the fence of the current epoch and while it is not
/// quarantined.
class WorkerFleet {
public:
    struct Hooks {
        state::MonotonicClock clock;
        /// A read of the worker list succeeded or failed.
        std::function<void()> onListRead;
        /// A worker acknowledged the fence of the current epoch and reported its tasks.
        std::function<void(const state::WorkerId&, const std::vector<state::WorkerTask>&)> onFenced;
        /// Each worker has acknowledged its fence or failed to; the fences of unresponsive workers are retried later.
        std::function<void()> onFenceRoundDone;
        /// A worker rejected the fence because it has seen a higher epoch.
        std::function<void(std::uint64_t epoch)> onHigherEpoch;
        /// A fence or a read of the worker list completed or timed out.
        std::function<void()> onResponse;
    };
    struct Options {
        state::DataCentreId dataCentre;
        std::chrono::milliseconds listInterval;
        std::chrono::milliseconds fenceRetryInterval;
        WorkerQuarantine::Options quarantine;
    };

    /// @param client must outlive this object.
    /// @param directory must outlive this object.
    /// @param placement must outlive this object.
    WorkerFleet(protocol::WorkerClient& client, protocol::WorkerDirectory& directory, state::PlacementState& placement,
        Options options, Hooks hooks);

    /// Fences all workers for a new epoch of this instance.
    void beginEpoch(std::uint64_t epoch);
    /// Ends the epoch, because the instance is no longer the scheduler.
    void endEpoch();

    /// Reads the worker list and retries fences when they are due.
    void tick(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextTick(state::MonotonicTime now) const;

    /// @return the worker, or null if it is unknown.
    const state::Worker* find(const state::WorkerId& worker) const;
    /// @return whether the worker list has been read successfully.
    bool listKnown() const { return m_listKnown; }
    /// @return workers that have not acknowledged the fence of the current epoch.
    std::set<state::WorkerId> unresponsive() const;

    WorkerQuarantine& quarantine() { return m_quarantine; }
    /// Updates the availability of the workers from the state of their fence and quarantine.
    void updateAvailability(state::MonotonicTime now);
    /// @return fenced workers in quarantine on which one probe job may be started.
    std::vector<state::WorkerId> probeCandidates(state::MonotonicTime now) const;

private:
    struct Fence {
        bool acknowledged = false;
        bool inFlight = false;
        state::MonotonicTime retryAt;
    };

    void readWorkerList(state::MonotonicTime now);
    void applyWorkerList(const std::vector<state::Worker>& workers);
    void fence(const state::WorkerId& worker);
    void onFenceResponse(const state::WorkerId& worker, const protocol::WorkerResponse& response);
    void checkFenceRound();

    protocol::WorkerClient& m_client;
    protocol::WorkerDirectory& m_directory;
    state::PlacementState& m_placement;
    Options m_options;
    Hooks m_hooks;
    WorkerQuarantine m_quarantine;
    bool m_listKnown = false;
    bool m_listReadInFlight = false;
    state::MonotonicTime m_nextListRead;
    /// 0 while this instance is not the scheduler.
    std::uint64_t m_epoch = 0;
    bool m_fenceRoundDone = false;
    std::map<state::WorkerId, Fence> m_fences;
};

} // namespace lentilsaddle::coordination
