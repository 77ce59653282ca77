#include "coordination/decisions/Backoff.h"

#include <algorithm>

namespace lentilsaddle::coordination {

std::chrono::milliseconds retryDelay(const Backoff& limits, int failures, std::uint64_t random)
{
    std::chrono::milliseconds delay = limits.minimum;
    for (int i = 1; i < failures && delay < limits.maximum; ++i)
        delay *= 2;
    delay = std::min(delay, limits.maximum);
    auto half = delay / 2;
    auto spread = static_cast<std::uint64_t>((delay - half).count()) + 1;
    return half + std::chrono::milliseconds(random % spread);
}

} // namespace lentilsaddle::coordination
