/// @file
/// Blocking client of the daemon's HTTP API.
#pragma once

#include "transport/HttpClient.h"

#include <chrono>
#include <string>

namespace lentilsaddle::cli {

/// Sends HTTP requests to one entry instance, each on a connection of its own, and blocks until the response.
class ApiClient {
public:
    /// @param server `ip:port` of an entry instance.
    /// @param timeout limit for each call.
    ApiClient(std::string server, std::chrono::milliseconds timeout);

    /// Sends one request and blocks until its response, an error or the timeout.
    /// @param path path and query string, such as `/v1/status`.
    transport::HttpResult call(const std::string& method, const std::string& path, const std::string& body = "",
        const transport::HttpHeaders& headers = {}) const;

private:
    std::string m_server;
    std::chrono::milliseconds m_timeout;
};

} // namespace lentilsaddle::cli
