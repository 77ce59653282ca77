/// @file
/// Free ports for the processes of a test.
#pragma once

#include <cstdint>

namespace lentilsaddle::testing_support {

/// Finds consecutive free TCP ports on loopback. Calls in one process return disjoint ranges until the search wraps
/// around.
/// @param count number of ports.
/// @return the first port.
/// @throws std::runtime_error if no such range is free.
std::uint16_t findFreePorts(int count);

} // namespace lentilsaddle::testing_support
