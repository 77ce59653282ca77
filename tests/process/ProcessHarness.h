/// @file
/// Small installation of real processes on loopback.
#pragma once

#include "tests/process/BlockingHttp.h"
#include "tests/process/ChildProcess.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilsaddle::testing_support {

/// Starts stand-ins and daemons on free ports; the destructor ends and reaps them.
///
/// Entry instances are numbered across all data centres, starting in data centre 0. Each data centre connects to the
/// platform through a listener of its own, so that a test can disconnect a single data centre.
class ProcessHarness {
public:
    struct Options {
        std::vector<std::string> dataCentres { "norte-ovi" };
        int entriesPerDataCentre = 2;
        int workersPerDataCentre = 8;
        int backendServersPerDataCentre = 2;
        int slotsPerServer = 8;
        std::chrono::milliseconds leaseDuration { 30'000 };
        std::chrono::milliseconds leaseRenewal { 500 };
        /// Setting `http.memory_mb` of the entry instances.
        std::size_t memoryMegabytes = 0;
    };

    /// Starts the stand-ins and publishes the instance list; startEntries() starts the entry instances.
    explicit ProcessHarness(Options options);

    /// Ends all processes, then prints the last lines of each log if the current test has failed.
    ~ProcessHarness();
    ProcessHarness(const ProcessHarness&) = delete;
    ProcessHarness& operator=(const ProcessHarness&) = delete;

    /// Starts all entry instances and waits until they are ready.
    /// @return whether all became ready.
    bool startEntries();

    /// Starts or restarts an entry instance; a process that still runs is killed first.
    void startEntry(int index);

    /// Applies a configuration with the accounts `shops` and `overnight` and the service `pavoreserva-app`, and waits
    /// until it is in force at all entry instances.
    /// @return whether it is.
    bool applyConfiguration();

    ChildProcess& entry(int index) { return *m_entries.at(static_cast<std::size_t>(index)).process; }
    std::string entryName(int index) const { return m_entries.at(static_cast<std::size_t>(index)).name; }
    int entryCount() const { return static_cast<int>(m_entries.size()); }
    std::uint16_t entryPort(int index) const { return m_entries.at(static_cast<std::size_t>(index)).httpPort; }

    std::uint16_t platformPort() const { return m_platformPort; }
    std::uint16_t workerPort(int dataCentre) const
    {
        return m_dataCentres.at(static_cast<std::size_t>(dataCentre)).workerPort;
    }
    std::uint16_t backendPort(int dataCentre) const
    {
        return m_dataCentres.at(static_cast<std::size_t>(dataCentre)).backendPort;
    }

    /// Sends a request to the HTTP port of an entry instance.
    HttpReply call(int entryIndex, BlockingRequest request) const;
    /// @return the response to `GET /v1/status` of an entry instance; a discarded value if it is not valid JSON.
    nlohmann::json status(int entryIndex) const;
    bool ready(int entryIndex) const;

    /// Injects faults into a stand-in with `POST /control`.
    /// @throws std::runtime_error if the status is not 200.
    void controlPlatform(const nlohmann::json& faults) const;
    void controlWorkers(int dataCentre, const nlohmann::json& faults) const;
    void controlBackend(int dataCentre, const nlohmann::json& faults) const;

    nlohmann::json streams() const;
    nlohmann::json workerJournal(int dataCentre = 0) const;
    nlohmann::json backendJournal(int dataCentre = 0) const;

    /// Publishes the instance list.
    /// @param states state of the instances that are not `live`, by name.
    void publishInstanceList(const std::map<std::string, std::string>& states = {}) const;

    /// Runs a program of the build to its end.
    /// @param program path below the build folder.
    /// @param output gets standard output and standard error.
    /// @return exit code.
    int run(const std::string& program, const std::vector<std::string>& arguments, std::string& output);

    /// Writes a file into the temporary folder of the harness.
    /// @return its path.
    std::string writeFile(const std::string& name, const std::string& content) const;

    /// Polls a condition every 50 ms for at least a minute. Adds a test failure if it never holds.
    /// @param description the condition in words, for the failure message.
    /// @return whether the condition held.
    static bool waitUntil(const std::string& description, const std::function<bool()>& condition);

private:
    struct Entry {
        std::string name;
        int dataCentre = 0;
        std::uint16_t httpPort = 0;
        std::uint16_t peerPort = 0;
        std::unique_ptr<ChildProcess> process;
    };
    struct DataCentre {
        std::string name;
        std::uint16_t workerPort = 0;
        std::uint16_t backendPort = 0;
    };

    void startPlatform();
    void startDataCentre(int index);
    void addEntry(int dataCentre, int number);
    void launch(const std::string& name, const std::string& program, std::vector<std::string> arguments);
    bool respondsOk(std::uint16_t port, const std::string& path) const;
    std::string settings(const Entry& entry) const;
    nlohmann::json instanceList(const std::map<std::string, std::string>& states) const;
    void printLogs() const;

    Options m_options;
    std::string m_folder;
    std::uint16_t m_platformPort = 0;
    int m_runCount = 0;
    std::vector<DataCentre> m_dataCentres;
    std::vector<std::unique_ptr<ChildProcess>> m_standins;
    std::vector<Entry> m_entries;
};

} // namespace lentilsaddle::testing_support
