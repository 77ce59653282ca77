/// @file
/// Real processes of a small installation on loopback.
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

/// Starts stand-ins and daemons on free ports and reaps all of them when it goes.
///
/// Entry instances are numbered over all data centres: data centre 0 has the first ones. Each data centre reaches the
/// platform through its own listener, so that it alone can be cut off.
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
    };

    /// Starts the stand-ins and announces them; the entry instances are started by startEntries().
    explicit ProcessHarness(Options options);

    /// Prints the end of each log if the current test has failed, then ends all processes.
    ~ProcessHarness();
    ProcessHarness(const ProcessHarness&) = delete;
    ProcessHarness& operator=(const ProcessHarness&) = delete;

    /// Starts all entry instances and waits until they are ready.
    /// @return whether all became ready.
    bool startEntries();

    /// Starts an entry instance, or starts it again after its end.
    void startEntry(int index);

    /// Applies a configuration with the accounts `shops` and `overnight` and the service `pavoreserva-app`, and waits
    /// until it is in force at all instances.
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

    /// Calls an entry instance; the port of the question is filled in.
    HttpReply call(int entryIndex, HttpQuestion question) const;
    /// `GET /v1/status` of an entry instance.
    nlohmann::json status(int entryIndex) const;
    bool ready(int entryIndex) const;

    /// `POST /control` of a stand-in.
    void controlPlatform(const nlohmann::json& faults) const;
    void controlWorkers(int dataCentre, const nlohmann::json& faults) const;
    void controlBackend(int dataCentre, const nlohmann::json& faults) const;

    nlohmann::json streams() const;
    nlohmann::json workerJournal(int dataCentre = 0) const;
    nlohmann::json backendJournal(int dataCentre = 0) const;

    /// Publishes the instance list.
    /// @param states state of the instances that are not `live`, by name.
    void announceInstances(const std::map<std::string, std::string>& states = {}) const;

    /// Runs a program of the build to its end.
    /// @param program path below the build folder.
    /// @param output gets standard output and standard error.
    /// @return exit code.
    int run(const std::string& program, const std::vector<std::string>& arguments, std::string& output);

    /// Writes a file into the harness's folder.
    /// @return its path.
    std::string writeFile(const std::string& name, const std::string& content) const;

    /// Observes a condition until it holds or the attempts are used up. Reports a test failure if it never holds.
    /// @param what the condition in words.
    static bool waitUntil(const std::string& what, const std::function<bool()>& condition);

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
    bool answers(std::uint16_t port, const std::string& path) const;
    std::string settings(const Entry& entry) const;
    nlohmann::json instanceList(const std::map<std::string, std::string>& states) const;
    void printLogs() const;

    Options m_options;
    std::string m_folder;
    std::uint16_t m_platformPort = 0;
    int m_runs = 0;
    std::vector<DataCentre> m_dataCentres;
    std::vector<std::unique_ptr<ChildProcess>> m_standins;
    std::vector<Entry> m_entries;
};

} // namespace lentilsaddle::testing_support
