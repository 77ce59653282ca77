/// @file
/// Workers of the data centre as the scheduler sees them.
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

/// Reads the list of workers, fences each worker once in an epoch, and keeps the availability of the placement state up
/// to date. A worker is available once it answered the fence of the current epoch and while it is not quarantined.
class WorkerFleet {
public:
    struct Hooks {
        state::MonotonicClock clock;
        /// The list of workers changed.
        std::function<void()> onListRead;
        /// A worker answered the fence of the current epoch with the tasks that it holds.
        std::function<void(const state::WorkerId&, const std::vector<state::WorkerTask>&)> onFenced;
        /// Every worker was asked once; the silent ones are asked again later.
        std::function<void()> onFenceRoundDone;
        /// A worker has seen a higher epoch.
        std::function<void(std::uint64_t epoch)> onHigherEpoch;
        /// Called after each answer.
        std::function<void()> onResponse;
    };
    struct Options {
        state::DataCentreId dataCentre;
        std::chrono::milliseconds listInterval;
        std::chrono::milliseconds fenceRetryInterval;
        WorkerQuarantine::Options quarantine;
    };

    /// @param placement outlives this object.
    WorkerFleet(protocol::WorkerClient& client, protocol::WorkerDirectory& directory, state::PlacementState& placement,
        Options options, Hooks hooks);

    /// Fences all workers for a new epoch of this instance.
    void beginEpoch(std::uint64_t epoch);
    /// The instance is no longer the scheduler.
    void endEpoch();

    /// Reads the list and repeats fences when they are due.
    void tick(state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextTick(state::MonotonicTime now) const;

    /// @return the worker, or null if the list does not name it.
    const state::Worker* find(const state::WorkerId& worker) const;
    bool listKnown() const { return m_listKnown; }
    /// @return workers that did not answer the fence of the current epoch.
    std::set<state::WorkerId> unresponsive() const;

    WorkerQuarantine& quarantine() { return m_quarantine; }
    /// Takes over changes of the quarantine.
    void updateAvailability(state::MonotonicTime now);
    /// @return available but for the quarantine, and due for a probe.
    std::vector<state::WorkerId> probeCandidates(state::MonotonicTime now) const;

private:
    struct Fence {
        bool answered = false;
        bool inFlight = false;
        state::MonotonicTime retryAt;
    };

    void readWorkerList(state::MonotonicTime now);
    void applyWorkerList(const std::vector<state::Worker>& workers);
    void fence(const state::WorkerId& worker);
    void onFenceResponse(const state::WorkerId& worker, const protocol::WorkerResponse& answer);
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
