/// @file
/// Evacuation of a data centre in the soak test.
#pragma once

#include <chrono>
#include <limits>
#include <string>

namespace lentilsaddle::soak {

/// Times are on the steady clock, which the processes of one machine share.
struct SoakEvacuation {
    std::string dataCentre;
    /// When the store had acknowledged the request.
    std::chrono::steady_clock::time_point acknowledged {};
    /// When the end was requested.
    std::chrono::steady_clock::time_point ended = std::chrono::steady_clock::time_point::max();
};

/// Time in which requests to a worker may have been delayed or held back.
struct SoakDisturbance {
    std::string worker;
    std::chrono::steady_clock::time_point begin {};
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::time_point::max();
};

} // namespace lentilsaddle::soak
