/// @file
/// Headers of a service request.
#pragma once

#include "transport/HttpMessage.h"

#include <chrono>
#include <string>

namespace lentilsaddle::protocol {

/// Decoded headers of a service request.
struct ServiceRequestHeaders {
    std::string account;
    /// Empty if the header is missing.
    std::string requestId;
    std::string idempotencyKey;
    bool nonRepeatable = false;
    std::chrono::milliseconds timeout { 30'000 };
    std::string contentType;
};

/// @throws ProtocolError naming the offending header.
ServiceRequestHeaders decodeServiceRequestHeaders(const transport::HttpHeaders& headers);

} // namespace lentilsaddle::protocol
