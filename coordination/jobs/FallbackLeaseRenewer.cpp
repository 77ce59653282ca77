#include "coordination/jobs/FallbackLeaseRenewer.h"

#include "coordination/decisions/Rendezvous.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <map>

namespace lentilsaddle::coordination {

FallbackLeaseRenewer::FallbackLeaseRenewer(protocol::WorkerClient& client, const state::JobTable& table,
    const state::PlacementState& placement, const TaskEnvironment& environment, const Options& options)
    : m_client(client)
    , m_table(table)
    , m_placement(placement)
    , m_environment(environment)
    , m_options(options)
{
}

void FallbackLeaseRenewer::tick(bool enabled, state::MonotonicTime logLostAt,
    const std::vector<state::InstanceId>& members, state::MonotonicTime now)
{
    // The loss of the log is detected late, after a long poll and its timeout; twice the lease TTL covers that delay.
    bool expired = now + 2 * m_options.leaseTtl >= logLostAt + m_options.isolationLimit;
    enabled = enabled && !expired && m_fencedEpoch != m_table.epoch();
    // The leases may be close to their expiry when renewal is enabled.
    if (enabled && !m_enabled)
        m_nextRenewal = now;
    m_enabled = enabled;
    if (!m_enabled || now < m_nextRenewal)
        return;
    m_nextRenewal = now + m_options.renewInterval;
    renewAll(members);
}

std::optional<state::MonotonicTime> FallbackLeaseRenewer::nextTick() const
{
    return m_enabled ? std::optional(m_nextRenewal) : std::nullopt;
}

void FallbackLeaseRenewer::renewAll(const std::vector<state::InstanceId>& members)
{
    std::map<state::WorkerId, std::vector<protocol::WorkerLease>> batches;
    for (const state::JobTable::Job* job : m_table.openJobs()) {
        if (!job->claim || job->cancelRequested)
            continue;
        for (const state::TaskPlacement& placement : job->claim->placements)
            batches[placement.worker].push_back(
                { .job = job->claim->job, .attempt = job->claim->attempt, .token = job->claim->token });
    }
    for (const auto& [id, leases] : batches) {
        auto worker = m_placement.workers().find(id);
        std::vector<state::InstanceId> order = rendezvousOrder(members, "lease/" + id.value());
        bool assigned = order.empty() || order.front() == m_environment.instance;
        if (!assigned || worker == m_placement.workers().end())
            continue;
        m_client.renew(worker->second.worker, m_table.epoch(), leases, m_options.leaseTtl,
            [this, epoch = m_table.epoch()](const protocol::WorkerResponse& response) {
                // A successor was elected by instances that reach the log; leases of its gangs must not be renewed in
                // part.
                if (response.status == protocol::WorkerResponse::Status::Fenced)
                    m_fencedEpoch = epoch;
            });
        m_environment.metrics->increment("lentilsaddle_guardian_renewals_total");
    }
}

} // namespace lentilsaddle::coordination
