/// @file
/// Delay between retries.
#pragma once

#include <chrono>
#include <cstdint>

namespace lentilsaddle::coordination {

struct Backoff {
    std::chrono::milliseconds minimum { 100 };
    std::chrono::milliseconds maximum { 5'000 };
};

/// Doubles the delay with each failure and draws it from the upper half, so that instances that failed together do not
/// retry together.
/// @param failures number of failures in a row, from 1.
/// @param random uniformly distributed number.
std::chrono::milliseconds retryDelay(const Backoff& limits, int failures, std::uint64_t random);

} // namespace lentilsaddle::coordination
