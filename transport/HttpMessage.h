/// @file
/// HTTP requests and responses, independent of the HTTP library.
#pragma once

#include <map>
#include <string>

namespace lentilsaddle::transport {

/// Header names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method;
    /// Path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
    /// Makes the server close the connection instead of sending this response.
    bool dropConnection = false;
};

} // namespace lentilsaddle::transport
