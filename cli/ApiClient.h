/// @file
/// Blocking client of the daemon's HTTP API.
#pragma once

#include "transport/HttpClient.h"

#include <chrono>
#include <string>

namespace lentilsaddle::cli {

class ApiClient {
public:
    /// @param server `ip:port` of an entry instance.
    /// @param timeout limit for each call.
    ApiClient(std::string server, std::chrono::milliseconds timeout);

    /// Sends one call and waits for its result.
    /// @param path path with query, such as `/v1/status`.
    transport::HttpResult call(const std::string& method, const std::string& path, const std::string& body = "",
        const transport::HttpHeaders& headers = {}) const;

private:
    std::string m_server;
    std::chrono::milliseconds m_timeout;
};

} // namespace lentilsaddle::cli
