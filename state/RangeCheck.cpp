#include "state/RangeCheck.h"

#include "state/StateError.h"

namespace lentilsaddle::state {

void requireRange(const std::string& field, int value, int minimum, int maximum)
{
    if (value < minimum || value > maximum)
        throw StateError(field,
            "must be " + std::to_string(minimum) + " to " + std::to_string(maximum) + ", got " + std::to_string(value));
}

} // namespace lentilsaddle::state
