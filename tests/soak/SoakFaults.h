/// @file
/// Random fault injection of the soak test.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lentilsaddle::soak {

class SoakCluster;

/// Injects random faults at random intervals. A fault lasts for a random time, so that faults overlap.
class SoakFaults {
public:
    SoakFaults(SoakCluster& cluster, std::uint64_t seed);

    /// Injects faults for the given time; faults that have not ended by then last until SoakCluster::clearFaults().
    void run(std::chrono::milliseconds duration);

    /// Injected faults, each as the time since the start in milliseconds and a description.
    const std::vector<std::string>& history() const { return m_history; }

private:
    using Time = std::chrono::steady_clock::time_point;

    void injectRandomFault();
    void injectStoreFault();
    void injectProxyFault();
    void injectDaemonFault();
    void injectWorkerFault();
    /// Restarts random workers one after the other; their directory entries follow later.
    void restartWorkers(int count);
    void killAllDaemons();
    void injectConfigurationChanges();
    /// Changes the capacity of a worker and schedules the next change.
    void injectCapacityChange();
    /// Makes the store fail for some of the daemons, each in its own way, and schedules the next such outage.
    void injectPartialStoreOutage();
    /// Makes the store fail for one daemon and schedules the end of the fault.
    void failStoreFor(int daemon, std::chrono::milliseconds duration);
    /// Makes a worker refuse requests and lose responses, or its proxy cut them, and schedules the next such fault.
    void injectUnhealthyWorker();
    /// Evacuates a data centre for longer than the limit in which the request must be in force, and schedules the next
    /// evacuation.
    void injectEvacuation();
    void beginStoreFault(nlohmann::json faults, std::chrono::milliseconds duration);
    void recordFault(const std::string& description);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    void runDueActions();
    void restartDaemon(int daemon, std::chrono::milliseconds delay);
    /// @return a random number from 0 to limit - 1.
    int draw(int limit) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(limit)); }
    std::chrono::milliseconds drawDuration(int minMs, int maxMs);
    /// Like draw(), for outages of single daemons and workers.
    int drawForOutage(int limit) { return static_cast<int>(m_outageRandom() % static_cast<std::uint64_t>(limit)); }

    SoakCluster& m_cluster;
    std::mt19937_64 m_random;
    /// Separate, so that a seed keeps its other faults.
    std::mt19937_64 m_capacityRandom;
    std::mt19937_64 m_outageRandom;
    std::mt19937_64 m_evacuationRandom;
    Time m_startTime;
    std::multimap<Time, std::function<void()>> m_scheduledActions;
    std::vector<std::string> m_history;
    int m_configurationVersion = 1;
    int m_storeFaults = 0;
};

} // namespace lentilsaddle::soak
