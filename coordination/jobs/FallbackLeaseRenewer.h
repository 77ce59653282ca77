/// @file
/// Keeps running gangs alive while nobody can become scheduler.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "protocol/WorkerClient.h"
#include "state/JobTable.h"
#include "state/PlacementState.h"
#include "state/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Renews the leases of claimed attempts when the scheduler is gone and the log is unavailable, so that no successor
/// can be elected. Starts nothing. Rendezvous hashing shares the workers between the instances; two instances that
/// renew the same lease do no harm.
class FallbackLeaseRenewer {
public:
    struct Options {
        std::chrono::milliseconds leaseTtl;
        std::chrono::milliseconds renewInterval;
        /// After this time without the log, a successor elsewhere may start the jobs again.
        std::chrono::milliseconds isolationLimit;
    };

    /// @param client, table, placement and environment outlive this object.
    FallbackLeaseRenewer(protocol::WorkerClient& client, const state::JobTable& table,
        const state::PlacementState& placement, const TaskEnvironment& environment, const Options& options);

    /// @param enabled whether the scheduler is gone and the log is unavailable.
    /// @param logLostAt when the log was noticed to be unavailable.
    /// @param members live instances of the data centre.
    void tick(bool enabled, state::MonotonicTime logLostAt, const std::vector<state::InstanceId>& members,
        state::MonotonicTime now);
    std::optional<state::MonotonicTime> nextTick() const;

private:
    void renewAll(const std::vector<state::InstanceId>& members);

    protocol::WorkerClient& m_client;
    const state::JobTable& m_table;
    const state::PlacementState& m_placement;
    const TaskEnvironment& m_environment;
    Options m_options;
    bool m_enabled = false;
    /// Epoch that a worker's answer showed to have ended.
    std::optional<std::uint64_t> m_fencedEpoch;
    state::MonotonicTime m_nextRenewal;
};

} // namespace lentilsaddle::coordination
