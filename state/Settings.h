/// @file
/// Settings of one daemon process.
#pragma once

#include "state/Identifier.h"
#include "state/batch/BatchSettings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::state {

/// Values of the settings file; docs/configuration.md describes each key.
struct Settings {
    InstanceId instance;
    DataCentreId dataCentre;

    std::string httpAddress = "127.0.0.1";
    std::uint16_t httpPort = 0;
    /// Memory that the process may use, in megabytes; 0 if unknown.
    std::size_t httpMemoryMegabytes = 0;

    std::string peerAddress = "127.0.0.1";
    std::uint16_t peerPort = 0;

    /// Base URL of the platform's services, without a trailing slash.
    std::string platformUrl;

    std::chrono::milliseconds leaseTtl { 30'000 };
    std::chrono::milliseconds leaseRenewInterval { 10'000 };
    std::chrono::milliseconds leaseMargin { 2'000 };

    std::chrono::milliseconds checkpointLimit { 2'500 };
    std::chrono::seconds isolationLimit { 7'200 };
    /// `cells` or `first_fit`.
    std::string placementPolicy = "cells";

    std::size_t timelineCapacity = 20'000;
    std::string logLevel = "info";

    /// Time between reporting "not ready" and closing the listening socket, so that the load balancer stops sending
    /// requests.
    std::chrono::milliseconds shutdownNotice { 2'000 };
    /// Time limit for completing in-flight requests.
    std::chrono::seconds shutdownLimit { 60 };

    batch::BatchSettings batch;

    /// Keys that the file names without a value, so that their defaults hold.
    std::vector<std::string> unsetKeys;
    /// @return bytes for the unfinished requests of the HTTP API.
    std::size_t requestMemoryBytes() const;
};

} // namespace lentilsaddle::state
