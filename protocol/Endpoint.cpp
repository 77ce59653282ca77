#include "protocol/Endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace lentilsaddle::protocol {

bool isEndpoint(const std::string& text, std::uint16_t lowestPort)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr address {};
    // Text after an embedded null character would be ignored.
    if (text.find('\0') != std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1)
        return false;
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    std::uint16_t port = 0;
    auto [parsed, error] = std::from_chars(begin, end, port);
    return error == std::errc {} && parsed == end && port >= lowestPort;
}

} // namespace lentilsaddle::protocol
