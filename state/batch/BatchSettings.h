/// @file
/// Settings of the batch subsystem.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lentilsaddle::state::batch {

/// Values of the section `batch` of the settings file; docs/configuration.md describes each key.
struct BatchSettings {
    /// `IPV4:PORT` of the HTTP API; empty if this process does not serve batch jobs.
    std::string apiAddress;
    std::string readyAddress;
    std::string metricsAddress;
    /// Longest lease that workers grant.
    std::chrono::milliseconds workerLeaseLimit { 6'000 };
    /// Longest time that a worker takes to stop a task.
    std::chrono::milliseconds stopGrace { 900 };
    /// Time after which a worker stops its members of a gang that has not started completely.
    std::chrono::milliseconds gangTimeout { 3'000 };
    /// Time after an operator's request from which nothing may start in an evacuated data centre; 0 for no limit.
    std::chrono::milliseconds evacuationLimit { 0 };
    /// Whether speeds of workers are learned from runs and used to place work.
    bool learnRunTimes = true;
    /// Processors that this process may use; 0 if unknown.
    double processors = 0;
    /// Descriptors that this process may open; 0 if unknown.
    std::size_t descriptors = 0;
    /// Memory of the machine in megabytes; 0 if unknown.
    std::size_t memoryMegabytes = 0;

    /// @return connections to workers that the descriptors allow beside all other uses.
    std::size_t workerConnections() const;

    /// @return bytes for the unfinished requests of all listeners.
    std::size_t requestMemoryBytes() const;

    /// @return bytes for the accepted jobs that have not ended.
    std::size_t jobMemoryBytes() const;

    bool enabled() const { return !apiAddress.empty(); }

private:
    std::size_t knownMemoryBytes() const;
};

} // namespace lentilsaddle::state::batch
