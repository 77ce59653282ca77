/// @file
/// Headers of a service request.
#pragma once

#include "transport/HttpMessage.h"

#include <chrono>
#include <string>

namespace lentilsaddle::protocol {

/// Decoded headers of a service request.
struct CallerRequest {
    std::string account;
    /// Empty if the caller gave none.
    std::string requestId;
    std::string idempotencyKey;
    bool nonRepeatable = false;
    std::chrono::milliseconds timeout { 30'000 };
    std::string contentType;
};

/// @throws ProtocolError naming the offending header.
CallerRequest decodeCallerRequest(const transport::HttpHeaders& headers);

} // namespace lentilsaddle::protocol
