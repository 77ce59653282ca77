#include "protocol/ServiceRequestCodec.h"

#include "protocol/ProtocolError.h"

#include <algorithm>
#include <charconv>

namespace lentilsaddle::protocol {

namespace {

    constexpr long maximumTimeoutMs = 600'000;
    constexpr std::size_t maximumHeaderBytes = 256;

    std::string readText(const transport::HttpHeaders& headers, const char* lowerName, const char* name)
    {
        auto found = headers.find(lowerName);
        if (found == headers.end())
            return "";
        const std::string& value = found->second;
        if (value.size() > maximumHeaderBytes)
            throw ProtocolError(name, "must have at most " + std::to_string(maximumHeaderBytes) + " bytes");
        bool printable = std::all_of(value.begin(), value.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
        if (!printable)
            throw ProtocolError(name, "must hold printable ASCII characters without spaces");
        return value;
    }

    std::chrono::milliseconds readTimeout(const transport::HttpHeaders& headers)
    {
        auto found = headers.find("request-deadline-ms");
        if (found == headers.end())
            return std::chrono::milliseconds(30'000);
        const std::string& text = found->second;
        long value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > maximumTimeoutMs)
            throw ProtocolError("Request-Deadline-Ms",
                "must be an integer from 1 to " + std::to_string(maximumTimeoutMs) + " (milliseconds)");
        return std::chrono::milliseconds(value);
    }

    bool readNonRepeatable(const transport::HttpHeaders& headers)
    {
        auto found = headers.find("non-repeatable");
        if (found == headers.end() || found->second == "false")
            return false;
        if (found->second != "true")
            throw ProtocolError("Non-Repeatable", "must be true or false");
        return true;
    }

} // namespace

ServiceRequestHeaders decodeServiceRequestHeaders(const transport::HttpHeaders& headers)
{
    ServiceRequestHeaders request;
    request.account = readText(headers, "client-account", "Client-Account");
    request.requestId = readText(headers, "request-id", "Request-Id");
    request.idempotencyKey = readText(headers, "idempotency-key", "Idempotency-Key");
    request.nonRepeatable = readNonRepeatable(headers);
    request.timeout = readTimeout(headers);
    auto contentType = headers.find("content-type");
    if (contentType != headers.end())
        request.contentType = contentType->second;
    if (request.account.empty())
        throw ProtocolError("Client-Account", "is required");
    if (request.nonRepeatable && request.idempotencyKey.empty())
        throw ProtocolError("Idempotency-Key", "is required for a non-repeatable request");
    return request;
}

} // namespace lentilsaddle::protocol
