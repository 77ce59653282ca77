/// @file
/// Batch deployment of real processes on loopback, connected through fault proxies.
#pragma once

#include "tests/process/ChildProcess.h"
#include "tests/soak/FaultProxy.h"
#include "tests/soak/SoakEvacuation.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lentilsaddle::soak {

/// Starts the store stand-in, one process that simulates all workers, and the daemons. Each daemon connects to the
/// store through its own proxy, and all connections to a worker go through that worker's proxy.
class SoakCluster {
public:
    struct Options {
        std::string folder;
        /// Program of the daemons; empty for the one of this build.
        std::string daemonProgram;
        int daemons = 3;
        int workers = 6;
        int accelerators = 8;
        std::uint64_t seed = 1;
        /// Setting `batch.memory_mb` of the daemons.
        std::size_t memoryMegabytes = 0;
    };

    explicit SoakCluster(Options options);
    ~SoakCluster();

    const Options& options() const { return m_options; }
    /// Port on which the daemon serves clients.
    std::uint16_t frontPort(int daemon) const { return static_cast<std::uint16_t>(m_firstFrontPort + daemon); }
    std::uint16_t readyPort(int daemon) const { return static_cast<std::uint16_t>(m_firstReadyPort + daemon); }
    std::uint16_t metricsPort(int daemon) const { return static_cast<std::uint16_t>(m_firstMetricsPort + daemon); }

    /// Waits until all daemons report that they are ready.
    /// @return false if one does not within the start timeout.
    bool waitUntilReady() const;

    void startDaemon(int daemon);
    testing_support::ChildProcess& daemon(int daemon) { return *m_daemons.at(static_cast<std::size_t>(daemon)); }

    void controlStore(const nlohmann::json& faults) const;
    void controlWorkers(const nlohmann::json& faults) const;
    /// Makes a worker refuse a share of its requests, and close the connection after executing a share of the others.
    void setWorkerRequestFaults(int worker, double refusedShare, double cutShare) const;
    void setStoreProxy(int daemon, FaultProxyMode mode);
    void setWorkerProxy(int worker, FaultProxyMode mode);
    /// Restarts a worker; its directory entry keeps the last incarnation until announceWorker() is called.
    void restartWorker(int worker) const;
    /// Changes the accelerators of a worker, and its directory entry if it has one.
    void setAccelerators(int worker, int accelerators);
    /// Writes the directory entry of a worker with its current incarnation.
    void announceWorker(int worker);
    void removeWorker(int worker);

    /// Time from an evacuation after which nothing may start in the data centre.
    static constexpr std::chrono::milliseconds evacuationLimit { 5'000 };
    /// @return name of the data centre of a worker; the workers of a rack share one.
    static std::string dataCentreOf(int worker) { return "dc-" + std::to_string(worker / workersPerRack); }
    int dataCentres() const { return (m_options.workers + workersPerRack - 1) / workersPerRack; }
    /// Requests the evacuation of a data centre, as the operator does; no effect if it is evacuated.
    void requestEvacuation(const std::string& dataCentre);
    void endEvacuation(const std::string& dataCentre);
    const std::vector<SoakEvacuation>& evacuations() const { return m_evacuations; }
    /// Faults of the proxies of workers.
    const std::vector<SoakDisturbance>& disturbances() const { return m_disturbances; }

    /// Writes a configuration version with the queues `q0` and `q1` and a queue `v<version>` that only this version
    /// has.
    /// @param unusedQueues number of further queues, which make the version large.
    void writeConfiguration(int version, int unusedQueues = 0) const;

    /// Ends all faults: proxies forward without a fault, the store responds normally, all workers are listed as ready
    /// with all their accelerators, no data centre is evacuated, and all daemons run. Waits for daemons that are
    /// shutting down and starts them again.
    void clearFaults();

    nlohmann::json workerJournal() const;
    /// @return all values that were written under the key in the topic `keyed.lentilsaddle`.
    std::vector<std::string> recordHistory(const std::string& key) const;

private:
    /// @param program path of the executable; a relative one is relative to the build folder.
    void launch(std::unique_ptr<testing_support::ChildProcess>& process, const std::string& program,
        std::vector<std::string> arguments, const std::string& logFile);
    std::string settingsYaml(int daemon) const;
    /// Waits until a daemon that was terminated has ended, at most for the stop timeout.
    void waitUntilEnded(int daemon);
    void putRecord(const std::string& topic, const std::string& key, const std::string& value) const;
    /// Polls the path until it responds with status 200.
    /// @return false if it does not within the start timeout.
    bool pollUntilOk(std::uint16_t port, const std::string& path) const;

    static constexpr int workersPerRack = 3;

    Options m_options;
    std::vector<SoakEvacuation> m_evacuations;
    std::vector<SoakDisturbance> m_disturbances;
    /// By worker.
    std::vector<int> m_accelerators;
    /// By worker: whether the directory lists it.
    std::vector<bool> m_listed;
    /// The store listens on one port for each daemon.
    std::uint16_t m_storePort = 0;
    std::uint16_t m_firstWorkerPort = 0;
    std::uint16_t m_firstFrontPort = 0;
    std::uint16_t m_firstReadyPort = 0;
    std::uint16_t m_firstMetricsPort = 0;
    std::uint16_t m_firstStoreProxyPort = 0;
    std::uint16_t m_firstWorkerProxyPort = 0;
    std::unique_ptr<testing_support::ChildProcess> m_store;
    std::unique_ptr<testing_support::ChildProcess> m_workerProcess;
    std::vector<std::unique_ptr<testing_support::ChildProcess>> m_daemons;
    std::vector<std::unique_ptr<FaultProxy>> m_storeProxies;
    std::vector<std::unique_ptr<FaultProxy>> m_workerProxies;
};

} // namespace lentilsaddle::soak
