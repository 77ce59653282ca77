/// @file
/// Free ports for the processes of a test.
#pragma once

#include <cstdint>

namespace lentilsaddle::testing_support {

/// Finds consecutive free TCP ports on loopback. Each call returns other ports.
/// @param count number of ports.
/// @return the first one.
/// @throws std::runtime_error if there are none.
std::uint16_t findFreePorts(int count);

} // namespace lentilsaddle::testing_support
