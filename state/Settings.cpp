#include "state/Settings.h"

#include <algorithm>

namespace lentilsaddle::state {

namespace {

    constexpr std::size_t megabyte = 1 << 20;
    constexpr std::size_t unknownMemoryMegabytes = 2'048;
    // A running request has up to three copies of its body, on the way to its backend server and in the libraries.
    constexpr std::size_t partForRequests = 8;
    // A single body of the largest size is accepted on any machine.
    constexpr std::size_t minimumRequestMemory = 4 * megabyte;

} // namespace

std::size_t Settings::requestMemoryBytes() const
{
    std::size_t memory = httpMemoryMegabytes > 0 ? httpMemoryMegabytes : unknownMemoryMegabytes;
    return std::max(memory * megabyte / partForRequests, minimumRequestMemory);
}

} // namespace lentilsaddle::state
