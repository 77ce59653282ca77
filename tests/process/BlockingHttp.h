/// @file
/// Blocking HTTP client for tests.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace lentilsaddle::testing_support {

struct HttpReply {
    /// 0 if no complete response was received.
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Transport error if status is 0.
    std::string error;
    /// No connection was established, so the server cannot have received the request.
    bool connectionRefused = false;

    /// @return the header's value, or an empty string.
    std::string header(const std::string& name) const;

    /// @return the body as JSON; a discarded value if it is not valid JSON.
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

struct BlockingRequest {
    std::string method = "GET";
    std::uint16_t port = 0;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout { 60'000 };
};

/// HTTP client for servers on 127.0.0.1 that reuses its connections between requests. Not thread-safe.
class HttpSession {
public:
    HttpSession();
    ~HttpSession();
    HttpSession(const HttpSession&) = delete;
    HttpSession& operator=(const HttpSession&) = delete;

    HttpReply call(const BlockingRequest& request);

private:
    /// Easy handle of libcurl.
    void* m_handle = nullptr;
};

/// Sends a request to a server on 127.0.0.1 on a new connection. Thread-safe.
HttpReply callHttp(const BlockingRequest& request);

} // namespace lentilsaddle::testing_support
