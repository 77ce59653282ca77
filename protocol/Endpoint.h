/// @file
/// Checks of network addresses in text form.
#pragma once

#include <cstdint>
#include <string>

namespace lentilsaddle::protocol {

/// @param text address and port as HOST:PORT.
/// @param lowestPort 0 if the port may be left to the system.
/// @return whether the host is an IPv4 address in dotted form and the port is from the lowest port to 65,535.
bool isEndpoint(const std::string& text, std::uint16_t lowestPort = 1);

} // namespace lentilsaddle::protocol
