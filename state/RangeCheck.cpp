#include "state/RangeCheck.h"

#include "state/StateError.h"

namespace lentilsaddle::state {

void requireRange(const std::string& field, int value, int low, int high)
{
    if (value < low || value > high)
        throw StateError(
            field, "must be " + std::to_string(low) + " to " + std::to_string(high) + ", got " + std::to_string(value));
}

} // namespace lentilsaddle::state
