/// @file
/// Platform's list of workers.
#pragma once

#include "state/Identifier.h"
#include "state/Worker.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::transport {
class HttpClient;
}

namespace lentilsaddle::protocol {

/// Adapter to `GET /workers`. All calls belong to the HTTP client's thread.
class WorkerDirectory {
public:
    /// Receives the list, or nothing if it cannot be had; the last known list stays valid then.
    using Callback = std::function<void(std::optional<std::vector<state::Worker>>)>;

    /// @param http outlives this object.
    /// @param platformUrl base URL of the platform, without a trailing slash.
    WorkerDirectory(transport::HttpClient& http, std::string platformUrl, std::chrono::milliseconds timeout);

    void read(const state::DataCentreId& dataCentre, Callback callback);

private:
    transport::HttpClient& m_http;
    std::string m_platformUrl;
    std::chrono::milliseconds m_timeout;
};

/// @throws ProtocolError if the text is no list of workers.
std::vector<state::Worker> decodeWorkers(const std::string& body);

} // namespace lentilsaddle::protocol
