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

/// Client for `GET /workers` of the platform. All methods must be called on the HTTP client's thread.
class WorkerDirectory {
public:
    /// Receives the list, or std::nullopt if it cannot be read; the last known list then stays valid.
    using Callback = std::function<void(std::optional<std::vector<state::Worker>>)>;

    /// @param http must outlive this object.
    /// @param platformUrl base URL of the platform, without a trailing slash.
    WorkerDirectory(transport::HttpClient& http, std::string platformUrl, std::chrono::milliseconds timeout);

    void read(const state::DataCentreId& dataCentre, Callback callback);

private:
    transport::HttpClient& m_http;
    std::string m_platformUrl;
    std::chrono::milliseconds m_timeout;
};

/// @return the workers of the list; entries that cannot be decoded are skipped.
/// @throws ProtocolError if the body is not a list of workers.
std::vector<state::Worker> decodeWorkers(const std::string& body);

} // namespace lentilsaddle::protocol
